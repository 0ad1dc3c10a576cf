//! Export: the totals of a span of hours, read in pages.
//!
//! Only what is rolled up is exported. It lies in the store, so any two daemons' exports
//! of the same hours agree once nothing of those hours waits for its roll-up.

use std::collections::BTreeMap;

use keyvalue::{Answer, KeyValue, ModRevision, Outcome, Range, Reply, Request};
use serde::Serialize;
use types::prelude::*;

use crate::bill::Account;
use crate::codec::{self, CodecError};
use crate::keys::Keys;
use crate::totals::{Hour, Sum, Totals};

const PAGE_KEYS: u32 = 32;

/// Why an export failed.
#[derive(Debug, thiserror::Error)]
pub enum ExportError {
    /// The store did not answer.
    #[error("the store did not answer; ask again: {0}")]
    Store(#[from] keyvalue::CallError),
    /// The store answered something else than was asked.
    #[error("the store's reply does not fit the call")]
    Reply,
    /// A stored value cannot be read.
    #[error("totals at {key} cannot be read: {source}")]
    Value {
        /// Where.
        key: String,
        /// Why.
        source: CodecError,
    },
    /// The table could not be written.
    #[error("the table of bills could not be written: {0}")]
    Csv(#[from] csv::Error),
}

/// What an export does next.
#[derive(Debug)]
pub enum Step {
    /// Call the store and give the outcome to [`Export::on_store`].
    Call(Request),
    /// Done.
    Done(Statement),
}

/// The total of one hour, customer and version or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The hour.
    pub hour: Hour,
    /// Who pays.
    pub customer: CustomerId,
    /// The offer or service.
    pub entry: EntryName,
    /// The version; nothing for a plain service.
    pub version: Option<VersionId>,
    /// Bills.
    pub requests: u64,
    /// Tokens of prompts.
    pub input_tokens: Tokens,
    /// Tokens of answers.
    pub output_tokens: Tokens,
    /// What is paid, in the table such as `0.002500`.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub cost: Cost,
    /// Attempts that the answers took.
    pub attempts: u64,
}

/// The totals of a span of hours.
#[derive(Debug, Clone, Default)]
pub struct Statement {
    totals: BTreeMap<Hour, Totals>,
    /// Keys that were read, for [`crate::Drain`].
    pub(crate) keys: Vec<(String, ModRevision)>,
    /// True when batches wait for their roll-up: the totals may still grow.
    pub pending: bool,
}

/// A reading of totals under way.
#[derive(Debug)]
pub struct Export {
    keys: Keys,
    until: Hour,
    after: String,
    statement: Statement,
    is_checking: bool,
}

impl Export {
    /// Reads the whole hours that `since` up to `until` touches. `prefix` is that of the
    /// cluster's keys.
    #[must_use]
    pub fn new(prefix: &str, since: WallTime, until: WallTime) -> Self {
        let keys = Keys::new(prefix);
        Self {
            after: keys.hour(Hour::of(since)),
            until: Hour::of(WallTime(until.0.saturating_sub(1))),
            keys,
            statement: Statement::default(),
            is_checking: false,
        }
    }

    /// The first call.
    #[must_use]
    pub fn start(&self) -> Request {
        Request::Range(Range {
            limit: PAGE_KEYS,
            after: Some(self.after.clone()),
            ..Range::prefix(self.keys.all_totals())
        })
    }

    /// Takes an outcome.
    ///
    /// # Errors
    /// When the store failed or a value cannot be read.
    pub fn on_store(&mut self, outcome: Outcome) -> Result<Step, ExportError> {
        let found = range(outcome?)?;
        if self.is_checking {
            self.statement.pending = !found.is_empty();
            return Ok(Step::Done(std::mem::take(&mut self.statement)));
        }
        let is_last = found.len() < PAGE_KEYS as usize;
        for kv in found {
            self.after.clone_from(&kv.key);
            match self.keys.hour_of(&kv.key) {
                Some(hour) if hour <= self.until => self.add(hour, kv)?,
                Some(_) => return Ok(self.check()),
                None => {}
            }
        }
        if is_last {
            return Ok(self.check());
        }
        Ok(Step::Call(self.start()))
    }

    fn add(&mut self, hour: Hour, kv: KeyValue) -> Result<(), ExportError> {
        let totals: Totals = codec::decode(&kv.value).map_err(|source| ExportError::Value {
            key: kv.key.clone(),
            source,
        })?;
        let sums = self.statement.totals.entry(hour).or_default();
        for (account, sum) in totals {
            *sums.entry(account).or_default() += sum;
        }
        self.statement.keys.push((kv.key, kv.mod_revision));
        Ok(())
    }

    /// Asks whether any batch waits for its roll-up.
    fn check(&mut self) -> Step {
        self.is_checking = true;
        Step::Call(Request::Range(Range {
            limit: 1,
            ..Range::prefix(self.keys.all_batches())
        }))
    }
}

fn range(answer: Answer) -> Result<Vec<KeyValue>, ExportError> {
    match answer.reply {
        Reply::Range(found) => Ok(found),
        _ => Err(ExportError::Reply),
    }
}

impl Statement {
    /// One row for each hour and account, in order.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.totals.iter().flat_map(|(hour, totals)| {
            let hour = *hour;
            totals
                .iter()
                .map(move |(account, sum)| row(hour, account, sum))
        })
    }

    /// Totals by customer and version or service, over all hours.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<Account, Sum> {
        let mut all = Totals::new();
        for (account, sum) in self.totals.values().flatten() {
            *all.entry(account.clone()).or_default() += *sum;
        }
        all
    }

    /// As a table with a head line.
    ///
    /// # Errors
    /// When the table cannot be written, which for memory does not happen.
    pub fn to_csv(&self) -> Result<String, ExportError> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        for row in self.rows() {
            writer.serialize(row)?;
        }
        let bytes = writer
            .into_inner()
            .map_err(|err| csv::Error::from(err.into_error()))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn row(hour: Hour, account: &Account, sum: &Sum) -> Row {
    Row {
        hour,
        customer: account.customer.clone(),
        entry: account.item.entry().clone(),
        version: account.item.version().cloned(),
        requests: sum.requests,
        input_tokens: sum.input,
        output_tokens: sum.output,
        cost: sum.cost,
        attempts: sum.attempts,
    }
}
