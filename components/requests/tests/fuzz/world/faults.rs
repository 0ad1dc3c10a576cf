//! Injects faults of engines, the store, daemons and callers.

use keyvalue::CallError;

use super::{Effect, EngineFault, EngineReply, StoreFault, World, whole_answer};
use crate::daemon::{Daemon, DaemonRun, StoreCallOwner};
use crate::oracle::CallEnd;

impl World {
    pub(crate) fn fail_engine(&mut self, choice: usize, fault: EngineFault) {
        let Some(Effect::Attempt(attempt)) = self.pick(choice, |e| matches!(e, Effect::Attempt(_)))
        else {
            return;
        };
        match fault {
            EngineFault::NotSent => self.reply(&attempt, EngineReply::NotSent),
            EngineFault::RefusedNotRun => self.reply(&attempt, EngineReply::RefusedNotRun),
            EngineFault::ResetBeforeRun => self.reply(&attempt, EngineReply::Reset),
            EngineFault::ResetAfterRun => {
                self.oracle.ran(attempt.call);
                self.reply(&attempt, EngineReply::Reset);
            }
            EngineFault::Error(status) => {
                self.oracle.ran(attempt.call);
                self.reply(&attempt, EngineReply::Error(status));
            }
            EngineFault::RunsAfterTimeout => {
                self.reply(&attempt, EngineReply::TimedOut);
                self.add(vec![Effect::Attempt(attempt)]);
            }
            EngineFault::WrongEcho => {
                self.oracle.ran(attempt.call);
                let tokens = whole_answer(attempt.request ^ 1);
                let reply = EngineReply::Tokens {
                    echo: attempt.id + 1,
                    tokens,
                    has_end: true,
                };
                self.reply(&attempt, reply);
            }
            EngineFault::Truncated(tokens) => self.run_attempt(&attempt, tokens.into(), false),
        }
    }

    pub(crate) fn fail_store(&mut self, choice: usize, fault: StoreFault) {
        let call = self.pick(choice, |e| matches!(e, Effect::Store(..)));
        let Some(Effect::Store(run, owner, request)) = call else {
            return;
        };
        let error = match fault {
            StoreFault::ReplyLost => {
                let _ = self.store.call(&request);
                CallError::Unknown("no reply".to_owned())
            }
            StoreFault::Delayed => {
                let delayed =
                    Effect::Store(DaemonRun::NONE, StoreCallOwner::Lease(self.now), request);
                self.add(vec![delayed]);
                CallError::Unknown("no reply".to_owned())
            }
            StoreFault::NotSent => CallError::NotSent("no connection".to_owned()),
            StoreFault::Refused => CallError::Refused("too many requests".to_owned()),
        };
        self.add(vec![Effect::Outcome(run, owner, Err(error))]);
    }

    /// Crashes a daemon, which loses all that it holds; what it has sent may still arrive.
    pub(crate) fn crash(&mut self, index: usize) {
        self.oracle.daemon_crashed(&self.daemons[index].id());
        let settling = self.daemons[index].settling();
        self.oracle.claim_unsettled.extend(settling);
        for call in self.daemons[index].calls() {
            self.oracle.call_ended(call, CallEnd::Broken);
        }
        self.runs += 1;
        self.daemons[index] = Daemon::new(index, self.runs);
    }

    pub(crate) fn pause(&mut self, index: usize, is_paused: bool) {
        self.daemons[index].is_paused = is_paused;
    }

    pub(crate) fn caller_leaves(&mut self, choice: usize) {
        let open = self
            .daemons
            .iter()
            .enumerate()
            .filter(|(_, daemon)| !daemon.is_paused);
        let open: Vec<_> = open
            .flat_map(|(index, daemon)| daemon.calls().into_iter().map(move |call| (index, call)))
            .collect();
        let Some((index, call)) = choice.checked_rem(open.len()).map(|i| open[i]) else {
            return;
        };
        self.daemons[index].on_caller_gone(&mut self.oracle, call, self.now);
    }
}
