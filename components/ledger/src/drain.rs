//! Deletion of totals that an operator has exported.

use std::collections::VecDeque;

use keyvalue::{CallError, Compare, ModRevision, Op, Outcome, Reply, Request, Txn};

use crate::export::Statement;

const KEYS_PER_CALL: usize = 64;

/// Deletes the totals of a statement, except those that have changed since the export.
///
/// A late batch of a past hour may be rolled up between the export and the drain; its bills
/// must not be lost. Each deletion is conditional on the exported revision: a key that has
/// changed stays, and its whole total is exported again.
#[derive(Debug)]
pub struct Drain {
    remaining: VecDeque<(String, ModRevision)>,
    /// Number of keys that stay because they had changed.
    kept: usize,
}

impl Drain {
    /// Creates a drain of the keys that a statement was read from.
    #[must_use]
    pub fn new(statement: &Statement) -> Self {
        Self {
            remaining: statement.keys.clone().into(),
            kept: 0,
        }
    }

    /// Returns the next store call, or `None` when done. It may be retried after an error,
    /// since deleting a key twice is harmless.
    #[must_use]
    pub fn next_call(&self) -> Option<Request> {
        if self.remaining.is_empty() {
            return None;
        }
        let deletes = self
            .remaining
            .iter()
            .take(KEYS_PER_CALL)
            .map(|(key, revision)| {
                Op::Txn(Txn {
                    compare: vec![Compare::ModRevision(key.clone(), *revision)],
                    success: vec![Op::Delete(key.clone())],
                    failure: Vec::new(),
                })
            });
        Some(Request::Txn(Txn {
            success: deletes.collect(),
            ..Txn::default()
        }))
    }

    /// Processes the outcome of a call.
    ///
    /// # Errors
    /// If the store call failed; retry it with [`Self::next_call`].
    pub fn on_store(&mut self, outcome: Outcome) -> Result<(), CallError> {
        let answer = outcome?;
        if let Reply::Txn(reply) = answer.reply {
            let is_kept = |reply: &&keyvalue::OpReply| matches!(reply, keyvalue::OpReply::Txn(inner) if !inner.succeeded);
            self.kept += reply.replies.iter().filter(is_kept).count();
        }
        self.remaining
            .drain(..KEYS_PER_CALL.min(self.remaining.len()));
        Ok(())
    }

    /// Returns how many keys stay because they had changed since the export.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept
    }
}
