//! The unsealed charges of one origin.
//!
//! The daemon that records charges numbers them from 1. A number always belongs to the same
//! charge, so copies from several holders can be merged, and a batch is identified by its
//! origin and first number.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::bill::Charge;
use crate::replication::Replica;
use crate::seal::Seal;

/// The daemon and incarnation that recorded a charge.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The daemon that recorded the charge.
    pub daemon: DaemonId,
    /// Its incarnation at that time.
    pub incarnation: Incarnation,
}

/// The unsealed charges of one origin, with the state of their replication and sealing.
#[derive(Debug)]
pub(crate) struct Journal {
    sealed: u64,
    charges: VecDeque<Charge>,
    /// The daemon responsible for the charges; `None` if this daemon recorded them.
    pub(crate) primary: Option<Primary>,
    /// The second holder of the charges.
    pub(crate) replica: Option<Replica>,
    pub(crate) seal: Seal,
}

/// The daemon that replicates a journal to this one and normally seals it.
#[derive(Debug, Clone)]
pub(crate) struct Primary {
    pub(crate) daemon: DaemonId,
    pub(crate) incarnation: Incarnation,
    /// When the primary last sent a message about this journal.
    pub(crate) last_heard_at: Time,
    /// When the oldest unsealed charge arrived.
    pub(crate) oldest_held_at: Time,
}

impl Primary {
    /// Creates the entry of a primary whose first message has just arrived.
    pub(crate) fn new(daemon: &DaemonId, incarnation: Incarnation, now: Time) -> Self {
        Self {
            daemon: daemon.clone(),
            incarnation,
            last_heard_at: now,
            oldest_held_at: now,
        }
    }
}

impl Journal {
    pub(crate) fn new(sealed: u64, primary: Option<Primary>) -> Self {
        Self {
            sealed,
            charges: VecDeque::new(),
            primary,
            replica: None,
            seal: Seal::default(),
        }
    }

    /// Returns the number up to which all charges are sealed.
    pub(crate) fn sealed(&self) -> u64 {
        self.sealed
    }

    /// Returns the number of the last charge held.
    pub(crate) fn end(&self) -> u64 {
        self.sealed + self.charges.len() as u64
    }

    pub(crate) fn len(&self) -> usize {
        self.charges.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Appends a charge and returns its number.
    pub(crate) fn push(&mut self, charge: Charge) -> u64 {
        self.charges.push_back(charge);
        self.end()
    }

    /// Adds numbered charges; known ones and those beyond a gap are ignored.
    pub(crate) fn merge(&mut self, first: u64, charges: Vec<Charge>) {
        for (number, charge) in (first..).zip(charges) {
            if number == self.end() + 1 {
                self.charges.push_back(charge);
            }
        }
    }

    /// Drops charges up to the number `sealed`, which never decreases.
    pub(crate) fn advance(&mut self, sealed: u64) {
        let newly_sealed = sealed.saturating_sub(self.sealed);
        let newly_sealed = usize::try_from(newly_sealed).unwrap_or(usize::MAX);
        self.charges.drain(..newly_sealed.min(self.charges.len()));
        self.sealed = self.sealed.max(sealed);
    }

    /// Returns up to `limit` charges that follow a number.
    pub(crate) fn after(
        &self,
        number: u64,
        limit: usize,
    ) -> impl Iterator<Item = &Charge> + Clone + '_ {
        let skipped = number.saturating_sub(self.sealed) as usize;
        self.charges.iter().skip(skipped).take(limit)
    }
}
