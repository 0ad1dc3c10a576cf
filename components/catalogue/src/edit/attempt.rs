//! The life of one edit.

use std::sync::Arc;

use keyvalue::{CallError, ModRevision, Op, Outcome, Reply, Request, Txn, TxnReply};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::edit::exclusion::all_are_others;
use crate::edit::snapshot::Reading;
use crate::edit::{Known, Proposal, Step, Verdict, judge};
use crate::head::{Change, Keys, void_name};
use crate::record::{Catalogue, Held, Record};

/// First pause between attempts; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Span = Span::from_millis(20);
const MAX_PAUSE: Span = Span::from_millis(640);

/// Attempts made at once when other edits come first, before pausing.
const QUICK_ATTEMPTS: u32 = 3;

/// One edit on its way.
#[derive(Debug, Clone)]
pub struct Edit {
    proposal: Proposal,
    keys: Keys,
    deadline: Time,
    state: State,
    /// A write whose fate is not known.
    pending: Option<Prepared>,
    /// Other entries to read along, since this daemon lags.
    also: Vec<EntryName>,
    pauses: u32,
    lost_races: u32,
    reason: String,
    learned: Vec<(EntryName, Held)>,
}

/// What the call under way is for.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Reading,
    Writing(Prepared),
    Fencing,
    Pausing,
    Ended,
}

/// A write as sent.
#[derive(Debug, Clone, PartialEq)]
struct Prepared {
    head_at: ModRevision,
    revision: Revision,
    held: Held,
}

impl Edit {
    /// An edit that is to be settled by `deadline`.
    #[must_use]
    pub fn new(proposal: Proposal, keys: Keys, deadline: Time) -> Self {
        Self {
            proposal,
            keys,
            deadline,
            state: State::Pausing,
            pending: None,
            also: Vec::new(),
            pauses: 0,
            lost_races: 0,
            reason: "not begun".to_owned(),
            learned: Vec::new(),
        }
    }

    /// What was proposed.
    #[must_use]
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Records read on the way, for the catalogue to take.
    pub fn take_learned(&mut self) -> Vec<(EntryName, Held)> {
        std::mem::take(&mut self.learned)
    }

    /// Begins, or goes on after a wait.
    pub fn resume(&mut self, now: Time) -> Step {
        if now.has_reached(self.deadline) {
            return self.give_up();
        }
        self.state = State::Reading;
        Step::Call(Request::Txn(Txn {
            success: self.read_ops(),
            ..Txn::default()
        }))
    }

    fn read_ops(&self) -> Vec<Op> {
        let void = void_name(self.proposal.id);
        let own = [&self.proposal.name, &void];
        self.keys.read_ops(own.into_iter().chain(&self.also))
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        known: Known<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let reply = match outcome {
            Ok(answer) => answer.reply,
            Err(error) => return self.on_error(now, state, error, rng),
        };
        let Reply::Txn(reply) = reply else {
            return self.pause(now, "the store's reply does not fit the call", rng);
        };
        match state {
            State::Writing(sent) if reply.succeeded => {
                let name = self.proposal.name.clone();
                self.learned.push((name, sent.held));
                self.applied(sent.revision)
            }
            State::Writing(_) if self.loses_again() => {
                self.pause(now, "other edits come first", rng)
            }
            // What is read next tells what became of the lost write.
            State::Fencing if reply.succeeded => self.resume(now),
            _ => self.on_reading(now, &reply, known, rng),
        }
    }

    /// Counts a write that another edit came before; true when it is time to pause.
    fn loses_again(&mut self) -> bool {
        self.lost_races += 1;
        self.lost_races.is_multiple_of(QUICK_ATTEMPTS)
    }

    fn on_error(&mut self, now: Time, state: State, error: CallError, rng: &mut impl Rng) -> Step {
        if let (State::Writing(sent), CallError::Unknown(_)) = (state, &error) {
            self.pending = Some(sent);
        }
        self.pause(now, &error.to_string(), rng)
    }

    fn on_reading(
        &mut self,
        now: Time,
        reply: &TxnReply,
        known: Known<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let reading = match Reading::parse(&self.keys, reply) {
            Ok(reading) => reading,
            Err(e) => return self.pause(now, &e.to_string(), rng),
        };
        self.learn(&reading);
        let id = self.proposal.id;
        let found = reading.revision_of(id);
        if let Some(revision) = found.or_else(|| known.catalogue.revision_of(id)) {
            return self.applied(revision);
        }
        if let Some(reason) = known.cannot_judge(reading.head.head.revision) {
            return self.pause(now, reason, rng);
        }
        if let Some(sent) = self.pending.clone()
            && let Some(step) = self.on_pending(now, &sent, &reading, known.catalogue)
        {
            return step;
        }
        if now.has_reached(self.deadline) {
            return self.give_up();
        }
        self.propose(now, &reading, known, rng)
    }

    /// Decides a lost write's fate, or fences it. Nothing: it never landed and never will.
    fn on_pending(
        &mut self,
        now: Time,
        sent: &Prepared,
        reading: &Reading,
        catalogue: &Catalogue,
    ) -> Option<Step> {
        if reading.head.at == sent.head_at {
            if now.has_reached(self.deadline) {
                return Some(self.give_up());
            }
            return Some(self.fence(reading));
        }
        let (id, name) = (self.proposal.id, &self.proposal.name);
        if !all_are_others(reading, catalogue, Some(name), sent.revision, id) {
            let reason = "its reply was lost and too many edits followed".to_owned();
            return Some(self.end(Verdict::Unknown { reason }));
        }
        self.pending = None;
        None
    }

    /// Writes the head as it is.
    ///
    /// Guards against an effect that comes after the read-back: the lost transaction
    /// compares the head's last write, which this one changes. If the lost one lands
    /// first, this one fails and reads it.
    fn fence(&mut self, reading: &Reading) -> Step {
        self.state = State::Fencing;
        Step::Call(Request::Txn(Txn {
            compare: vec![self.keys.compare_head(reading.head.at)],
            success: vec![self.keys.put_head(&reading.head.head)],
            failure: self.read_ops(),
        }))
    }

    /// Judges the proposal against what stands and writes it.
    fn propose(
        &mut self,
        now: Time,
        reading: &Reading,
        known: Known<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let catalogue = known.catalogue;
        if reading.held(&void_name(self.proposal.id)).is_some() {
            let reason = "it was asked for by its id and given up".to_owned();
            return self.end(Verdict::NotApplied { reason });
        }
        if let Some(conflict) = judge::conflict(&self.proposal, reading) {
            return self.end(conflict);
        }
        let Some(changed) = judge::changed(&self.proposal, reading, catalogue) else {
            return self.pause(now, "this daemon is catching up", rng);
        };
        if !changed.iter().all(|name| self.also.contains(name)) {
            self.also = changed;
            return self.resume(now);
        }
        let problems = judge::problems(&self.proposal, reading, catalogue);
        if !problems.is_empty() {
            return self.end(Verdict::Invalid { problems });
        }
        self.write(reading)
    }

    fn write(&mut self, reading: &Reading) -> Step {
        let name = &self.proposal.name;
        let head = &reading.head;
        let record = Arc::new(self.record(reading));
        let held = Held::new(record.clone());
        let size = held.json.len();
        if size > MAX_ENTRY_SIZE.as_usize() {
            let reason = format!("{size} bytes with its history; at most {MAX_ENTRY_SIZE}");
            return self.end(Verdict::NotApplied { reason });
        }
        let change = Change {
            revision: record.revision,
            name: name.clone(),
            edit_id: record.edit_id,
        };
        let entry_at = reading.entries.get(name).map(|(at, _)| *at);
        let entry = self.keys.entry(name);
        let entry = keyvalue::Compare::ModRevision(entry, entry_at.unwrap_or_default());
        let txn = Txn {
            compare: vec![self.keys.compare_head(head.at), entry],
            success: vec![
                self.keys.put_entry(name, held.json.clone()),
                self.keys.put_head(&head.head.after(change)),
            ],
            failure: self.read_ops(),
        };
        self.state = State::Writing(Prepared {
            head_at: head.at,
            revision: record.revision,
            held,
        });
        Step::Call(Request::Txn(txn))
    }

    fn record(&self, reading: &Reading) -> Record {
        let standing = reading.held(&self.proposal.name);
        let history = standing.map(|held| held.record.history_of_next());
        Record {
            revision: reading.head.head.revision.next(),
            edit_id: self.proposal.id,
            author: self.proposal.author.clone(),
            at: self.proposal.at,
            entry: self.proposal.entry.clone(),
            history: history.unwrap_or_default(),
        }
    }

    fn learn(&mut self, reading: &Reading) {
        let entries = reading.entries.iter();
        let learned = entries.map(|(name, (_, held))| (name.clone(), held.clone()));
        self.learned.extend(learned);
    }

    fn applied(&mut self, revision: Revision) -> Step {
        self.end(Verdict::Applied { revision })
    }

    fn end(&mut self, verdict: Verdict) -> Step {
        self.state = State::Ended;
        Step::Done(verdict)
    }

    fn give_up(&mut self) -> Step {
        let reason = format!("time ran out: {}", self.reason);
        self.end(match self.pending {
            Some(_) => Verdict::Unknown { reason },
            None => Verdict::NotApplied { reason },
        })
    }

    fn pause(&mut self, now: Time, reason: &str, rng: &mut impl Rng) -> Step {
        reason.clone_into(&mut self.reason);
        if now.has_reached(self.deadline) {
            return self.give_up();
        }
        self.state = State::Pausing;
        let doubled = FIRST_PAUSE.times(1 << self.pauses.min(5));
        let longest = doubled.min(MAX_PAUSE).as_micros();
        self.pauses += 1;
        let pause = Span::from_micros(rng.random_range(longest / 2..=longest));
        Step::Wait((now + pause).min(self.deadline))
    }
}
