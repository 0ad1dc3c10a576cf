//! Accounts held once, whatever the number of charges that add to them.
//!
//! Without it each charge that waits out an outage would carry its account's text, and the
//! bound on charges would not bound their memory.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::bill::{Account, Charge};

/// Accounts known; past it they are learnt anew.
const MAX_ACCOUNTS: usize = 4096;

/// Accounts of recent charges.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    known: BTreeSet<Arc<Account>>,
}

impl Accounts {
    /// Lets a charge share its account with earlier ones.
    pub(crate) fn share(&mut self, charge: &mut Charge) {
        if let Some(known) = self.known.get(&charge.account) {
            charge.account = Arc::clone(known);
            return;
        }
        if self.known.len() >= MAX_ACCOUNTS {
            self.known.clear();
        }
        self.known.insert(Arc::clone(&charge.account));
    }
}
