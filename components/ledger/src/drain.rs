//! Drain: deletes totals that an operator has exported.

use std::collections::VecDeque;

use keyvalue::{CallError, Compare, ModRevision, Op, Outcome, Reply, Request, Txn};

use crate::export::Statement;

const STEPS_PER_CALL: usize = 64;

/// Deletes the totals of a statement, unless they have grown since.
///
/// Guards against losing what came late: a batch of a past hour may be rolled up between
/// the export and the drain. Each key is compared with the revision that was exported;
/// a key that has grown stays and its whole total is exported again.
#[derive(Debug)]
pub struct Drain {
    left: VecDeque<(String, ModRevision)>,
    /// Keys that had grown and stay.
    kept: usize,
}

impl Drain {
    /// Drains what a statement was read from.
    #[must_use]
    pub fn new(statement: &Statement) -> Self {
        Self {
            left: statement.keys.clone().into(),
            kept: 0,
        }
    }

    /// The next call, or nothing when done. To be repeated after an error: deleting
    /// again is harmless.
    #[must_use]
    pub fn next_call(&self) -> Option<Request> {
        if self.left.is_empty() {
            return None;
        }
        let steps = self
            .left
            .iter()
            .take(STEPS_PER_CALL)
            .map(|(key, revision)| {
                Op::Txn(Txn {
                    compare: vec![Compare::ModRevision(key.clone(), *revision)],
                    success: vec![Op::Delete(key.clone())],
                    failure: Vec::new(),
                })
            });
        Some(Request::Txn(Txn {
            success: steps.collect(),
            ..Txn::default()
        }))
    }

    /// Takes an outcome.
    ///
    /// # Errors
    /// When the store failed: call again.
    pub fn on_store(&mut self, outcome: Outcome) -> Result<(), CallError> {
        let answer = outcome?;
        if let Reply::Txn(reply) = answer.reply {
            let is_kept = |reply: &&keyvalue::OpReply| matches!(reply, keyvalue::OpReply::Txn(inner) if !inner.succeeded);
            self.kept += reply.replies.iter().filter(is_kept).count();
        }
        self.left.drain(..STEPS_PER_CALL.min(self.left.len()));
        Ok(())
    }

    /// Keys that had grown since the export and stay.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept
    }
}
