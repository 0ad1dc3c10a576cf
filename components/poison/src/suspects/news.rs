//! What waits to be told to other daemons.

use types::prelude::*;

use crate::content::Content;
use crate::word::{Fate, Word, Words};

/// Words that wait to be told.
const MAX_NEWS: usize = 256;
/// Words told at a time: some 60 bytes each, in one message.
const MAX_TOLD: usize = 64;

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

/// Words that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct News(Vec<Item>);

impl News {
    pub(crate) fn push(&mut self, content: Content, fate: Fate, at: Time) {
        self.0.push(Item { content, fate, at });
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
        let mut items = std::mem::take(&mut self.0);
        items.sort_by_key(|item| std::cmp::Reverse(weight(item)));
        items.truncate(MAX_NEWS);
        self.0 = items.split_off(items.len().min(MAX_TOLD));
        Words(items.into_iter().map(|item| item.word(now)).collect())
    }
}
