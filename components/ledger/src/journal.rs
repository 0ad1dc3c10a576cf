//! The unsealed charges of one origin.
//!
//! Charges are numbered from 1 by the daemon that recorded them. Number and content
//! never part, so that copies from several holders merge, and a batch is named by its
//! origin and first number.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::bill::Charge;
use crate::custody::Replica;
use crate::seal::Seal;

/// The run of a daemon that recorded a charge.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The unsealed charges of one origin, and what is done about them.
#[derive(Debug)]
pub(crate) struct Journal {
    sealed: u64,
    charges: VecDeque<Charge>,
    /// Who answers for it; nothing when this daemon recorded it.
    pub(crate) keeper: Option<Keeper>,
    /// The second holder.
    pub(crate) replica: Option<Replica>,
    pub(crate) seal: Seal,
}

/// The daemon that sent charges for holding.
#[derive(Debug, Clone)]
pub(crate) struct Keeper {
    pub(crate) daemon: DaemonId,
    pub(crate) incarnation: Incarnation,
    /// Last heard of this journal.
    pub(crate) heard: Time,
    /// When the oldest charge held came.
    pub(crate) since: Time,
}

impl Keeper {
    /// A keeper that is heard of for the first time.
    pub(crate) fn new(daemon: &DaemonId, incarnation: Incarnation, now: Time) -> Self {
        Self {
            daemon: daemon.clone(),
            incarnation,
            heard: now,
            since: now,
        }
    }
}

impl Journal {
    pub(crate) fn new(sealed: u64, keeper: Option<Keeper>) -> Self {
        Self {
            sealed,
            charges: VecDeque::new(),
            keeper,
            replica: None,
            seal: Seal::default(),
        }
    }

    /// All up to this number are sealed.
    pub(crate) fn sealed(&self) -> u64 {
        self.sealed
    }

    /// The last number held.
    pub(crate) fn end(&self) -> u64 {
        self.sealed + self.charges.len() as u64
    }

    pub(crate) fn len(&self) -> usize {
        self.charges.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Adds the next charge and gives its number.
    pub(crate) fn push(&mut self, charge: Charge) -> u64 {
        self.charges.push_back(charge);
        self.end()
    }

    /// Adds numbered charges; those known are passed over, those past a gap left out.
    pub(crate) fn merge(&mut self, first: u64, charges: Vec<Charge>) {
        for (number, charge) in (first..).zip(charges) {
            if number == self.end() + 1 {
                self.charges.push_back(charge);
            }
        }
    }

    /// Forgets what is sealed; the mark never goes back.
    pub(crate) fn advance(&mut self, sealed: u64) {
        let gone = sealed.saturating_sub(self.sealed);
        let gone = usize::try_from(gone).unwrap_or(usize::MAX);
        self.charges.drain(..gone.min(self.charges.len()));
        self.sealed = self.sealed.max(sealed);
    }

    /// Charges after a number, at most so many.
    pub(crate) fn after(
        &self,
        number: u64,
        limit: usize,
    ) -> impl Iterator<Item = &Charge> + Clone + '_ {
        let skipped = number.saturating_sub(self.sealed) as usize;
        self.charges.iter().skip(skipped).take(limit)
    }
}
