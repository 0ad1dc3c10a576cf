//! What waits to be told to other daemons.
//!
//! A word is told once: what comes back from others, with an age that says less with each hop, is no
//! news again.

use std::collections::{HashMap, VecDeque};

use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::content::Content;
use crate::updates::{Fate, Word, Words};

/// Words that wait to be told.
const MAX_NEWS: usize = 256;
/// Words told at a time: some 60 bytes each, in one message.
const MAX_TOLD: usize = 64;
/// Longer than a word is under way between two daemons.
const TOLD_ONCE_FOR: Span = Span::from_secs(10);
/// A content is answered again and again, and each answer may clear ends that came since.
const CLEARED_ONCE_FOR: Span = Span::from_secs(1);
/// Words remembered as told, some 40 bytes each: [`MAX_TOLD`] of them twenty times a second. No more are
/// told while there is no room.
const MAX_REMEMBERED: usize = 16_384;

/// A word that waits, with its moment.
#[derive(Debug, Clone)]
struct Item {
    content: Content,
    fate: Fate,
    at: Time,
}

impl Item {
    fn word(self, now: Time) -> Word {
        Word {
            content: self.content,
            fate: self.fate,
            age_ms: u32::try_from(now.since(self.at).as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Words that were told of late.
#[derive(Debug, Default)]
struct Remembered {
    until: HashMap<u64, Time>,
    /// The first to be forgotten first, by kind of word.
    ends: VecDeque<(u64, Time)>,
    others: VecDeque<(u64, Time)>,
}

impl Remembered {
    fn holds(&mut self, now: Time, content: Content, fate: &Fate) -> bool {
        self.forget(now);
        self.until.contains_key(&key_of(content, fate))
    }

    /// Notes a word that is to be told; false if it was, or where there is no room.
    fn note(&mut self, now: Time, content: Content, fate: &Fate) -> bool {
        let key = key_of(content, fate);
        if self.until.contains_key(&key) || self.until.len() >= MAX_REMEMBERED {
            return false;
        }
        let (order, until) = match fate {
            Fate::Ended { .. } | Fate::Tried => (&mut self.ends, now + TOLD_ONCE_FOR),
            Fate::Whole | Fate::Lifted => (&mut self.others, now + CLEARED_ONCE_FOR),
        };
        order.push_back((key, until));
        self.until.insert(key, until);
        true
    }

    fn forget(&mut self, now: Time) {
        for order in [&mut self.ends, &mut self.others] {
            while let Some((key, _)) = order.pop_front_if(|(_, until)| now.has_reached(*until)) {
                self.until.remove(&key);
            }
        }
    }
}

/// Names what a word says, whoever tells it.
fn key_of(content: Content, fate: &Fate) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(content.to_string().as_bytes());
    match fate {
        Fate::Ended { upstream, .. } => {
            hash.update(upstream.id.as_str().as_bytes());
            let started_at = upstream.started_at.map_or(0, |at| at.0);
            hash.update(&started_at.to_le_bytes());
        }
        Fate::Whole => hash.update(&[1]),
        Fate::Tried => hash.update(&[2]),
        Fate::Lifted => hash.update(&[3]),
    }
    hash.digest()
}

/// Words that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct News {
    waiting: Vec<Item>,
    told: Remembered,
}

impl News {
    pub(crate) fn push(&mut self, now: Time, content: Content, fate: Fate, at: Time) {
        if !self.told.holds(now, content, &fate) {
            self.waiting.push(Item { content, fate, at });
        }
    }

    /// Takes the words to be told now; `ends` says how many upstreams ended under a content.
    ///
    /// What proves most goes first, and what finds no room is dropped: a flood of suspects must
    /// not keep the word on a proved one waiting.
    pub(crate) fn take(&mut self, now: Time, ends: impl Fn(&Content) -> usize) -> Words {
        let weight = |item: &Item| {
            let is_verdict = !matches!(item.fate, Fate::Ended { .. });
            (is_verdict, ends(&item.content))
        };
        let mut items = std::mem::take(&mut self.waiting);
        items.sort_by_key(|item| std::cmp::Reverse(weight(item)));
        items.truncate(MAX_NEWS);
        self.waiting = items.split_off(items.len().min(MAX_TOLD));
        items.retain(|item| self.told.note(now, item.content, &item.fate));
        Words(items.into_iter().map(|item| item.word(now)).collect())
    }
}
