//! Taking from a peer what this daemon lacks, in pages.
//!
//! Pages are in the order of revisions and the sender keeps no state: a record that is
//! edited between two pages moves behind the cursor and comes later. So pages of one
//! transfer fit together although the sender's catalogue changes, and a transfer of the
//! whole catalogue is the same as one of changes after revision 0.

use std::collections::BTreeSet;

use rand::Rng;
use types::prelude::*;

use crate::record::{Held, RecordError};
use crate::sync::message::{Page, Told};
use crate::sync::{Effect, MAX_PAGE_RECORDS, Message, Sync, send};

/// Rounds of asking with other records at the same revision before all are compared.
const MAX_MISMATCHES: u32 = 3;

/// Least time between two such comparisons, since each takes the whole catalogue.
const COMPARE_INTERVAL: Span = Span::from_secs(30);

/// A transfer under way.
#[derive(Debug)]
pub(super) struct Transfer {
    from: DaemonId,
    after: Revision,
    cursor: Revision,
    /// Entries received, for a transfer of the whole.
    named: BTreeSet<EntryName>,
    deadline: Time,
}

impl Sync {
    /// Begins a transfer when a peer has more.
    pub(super) fn want_newer(
        &mut self,
        now: Time,
        from: &DaemonId,
        told: &Told,
        effects: &mut Vec<Effect>,
    ) {
        if self.transfer.is_none() && told.revision > self.catalogue.revision() {
            self.want(now, from, self.catalogue.revision(), effects);
        }
    }

    fn want(&mut self, now: Time, from: &DaemonId, after: Revision, effects: &mut Vec<Effect>) {
        self.transfer = Some(Transfer {
            from: from.clone(),
            after,
            cursor: after,
            named: BTreeSet::new(),
            deadline: now + self.cfg.patience,
        });
        let cursor = after;
        effects.push(send(from, Message::Want { after, cursor }));
    }

    /// Takes the whole catalogue of a peer at the same revision when it may have what is
    /// missing here. Either the records differ: a store was restored from an old copy
    /// while both were cut off, and all are compared; the higher rank stays. Or the
    /// latest record of an entry is bad and this daemon never had a good one.
    pub(super) fn compare_whole(
        &mut self,
        now: Time,
        from: &DaemonId,
        told: &Told,
        effects: &mut Vec<Effect>,
    ) {
        let own = self.told();
        let is_level = own.revision == told.revision && self.transfer.is_none();
        if !is_level || !now.has_reached(self.next_compare) {
            return;
        }
        if own.digest == told.digest {
            self.mismatches = 0;
            if !self.catalogue.lacks_good_records() {
                return;
            }
        } else {
            self.mismatches += 1;
            if self.mismatches < MAX_MISMATCHES {
                return;
            }
            tracing::warn!(
                "catalogue: {from} holds other records of revision {}",
                own.revision
            );
        }
        self.next_compare = now + COMPARE_INTERVAL;
        self.want(now, from, Revision(0), effects);
    }

    /// The records that a peer wants, as many as a page takes.
    pub(super) fn page(&self, after: Revision, cursor: Revision) -> Message {
        let can_tell_changes = after >= self.catalogue.marker_floor();
        let (after, cursor) = if after == Revision(0) || can_tell_changes {
            (after, cursor)
        } else {
            (Revision(0), Revision(0))
        };
        let mut records = Vec::new();
        let (mut size, mut last, mut is_whole) = (0, cursor, true);
        for (revision, record) in self.catalogue.since(cursor) {
            let full = size >= self.cfg.page.as_usize() || records.len() >= MAX_PAGE_RECORDS;
            // Never cut between records of one revision: the cursor could not tell them apart.
            if full && revision > last {
                is_whole = false;
                break;
            }
            size += record.size();
            last = revision;
            records.push(record);
        }
        Message::Page(Page {
            after,
            records,
            cursor: last,
            to: is_whole.then_some(self.catalogue.revision()),
        })
    }

    /// Takes a page of the transfer under way; any other is dropped.
    pub(super) fn on_page(
        &mut self,
        now: Time,
        from: &DaemonId,
        page: Page,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut transfer) = self.transfer.take_if(|transfer| transfer.from == *from) else {
            return;
        };
        let restarts = page.after == Revision(0) && transfer.named.is_empty();
        if !page.is_bounded(self.cfg.page) || (page.after != transfer.after && !restarts) {
            tracing::warn!("catalogue: dropped a page of {from} that does not fit");
            return;
        }
        let records = match parse(&page) {
            Ok(records) => records,
            Err(e) => {
                tracing::warn!("catalogue: dropped a page of {from}: {e}");
                return;
            }
        };
        transfer.after = page.after;
        if page.after == Revision(0) {
            transfer
                .named
                .extend(records.iter().map(|(name, _)| name.clone()));
        }
        match page.to {
            Some(to) => self.finish(now, &transfer, records, to, rng, effects),
            None if page.cursor > transfer.cursor || restarts => {
                self.catalogue.gather(records);
                transfer.cursor = page.cursor;
                transfer.deadline = now + self.cfg.patience;
                let (after, cursor) = (transfer.after, transfer.cursor);
                effects.push(send(from, Message::Want { after, cursor }));
                self.transfer = Some(transfer);
            }
            None => tracing::warn!("catalogue: {from} sent a page that leads nowhere"),
        }
    }

    fn finish(
        &mut self,
        now: Time,
        transfer: &Transfer,
        records: Vec<(EntryName, Held)>,
        to: Revision,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        if transfer.after == Revision(0) && to > self.catalogue.revision() {
            self.catalogue.drop_unnamed(&transfer.named, to);
        }
        self.apply(records, Some(to), rng, effects);
        // Others may have told of more meanwhile.
        let ahead = self.heard.iter().max_by_key(|(_, heard)| heard.revision);
        let ahead = ahead.filter(|(_, heard)| heard.revision > self.catalogue.revision());
        if let Some((peer, _)) = ahead {
            let peer = peer.clone();
            self.want(now, &peer, self.catalogue.revision(), effects);
        }
    }

    /// Gives up a transfer whose peer went silent; the next answer begins another.
    pub(super) fn tick_transfer(&mut self, now: Time) {
        let late = self
            .transfer
            .take_if(|transfer| now.has_reached(transfer.deadline));
        if let Some(late) = late {
            tracing::debug!("catalogue: no page of {} in time", late.from);
        }
    }
}

fn parse(page: &Page) -> Result<Vec<(EntryName, Held)>, RecordError> {
    let records = page.records.iter();
    records
        .map(|record| Ok((record.name.clone(), record.parse()?)))
        .collect()
}
