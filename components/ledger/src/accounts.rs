//! Interning of accounts, so that charges of one account share its text.
//!
//! Otherwise each charge held during an outage would carry its own copy of that text, and
//! the limit on the number of charges would not bound their memory.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::bill::{Account, Charge};

/// Maximum number of interned accounts; at the limit the table is cleared.
const MAX_ACCOUNTS: usize = 4096;

/// Table of the accounts of recent charges.
#[derive(Debug, Default)]
pub(crate) struct AccountInterner {
    known: BTreeSet<Arc<Account>>,
}

impl AccountInterner {
    /// Makes a charge share its account with earlier ones.
    pub(crate) fn intern(&mut self, charge: &mut Charge) {
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
