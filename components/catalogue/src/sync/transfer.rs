//! Paged transfer of missing records from a peer.
//!
//! Pages are ordered by revision and the sender keeps no state: a record that is edited
//! between two pages moves to a revision past the cursor and is sent later. Pages of one
//! transfer are therefore consistent although the sender's catalogue changes, and a transfer
//! of the whole catalogue is one of the changes after revision 0.

use std::collections::BTreeSet;

use rand::Rng;
use types::prelude::*;

use crate::record::{EncodedRecord, RecordError};
use crate::sync::message::{Page, Summary};
use crate::sync::{Effect, MAX_PAGE_RECORDS, Message, Sync, send};

/// Consecutive summaries with the same revision but another digest after which the whole
/// catalogue is transferred.
const MAX_MISMATCHES: u32 = 3;

/// Least time between two repairs by transfer of the whole catalogue, which is costly.
const WHOLE_TRANSFER_INTERVAL: Span = Span::from_secs(30);

/// A transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    from: DaemonId,
    after: Revision,
    cursor: Revision,
    /// Names of the entries received, kept for a transfer of the whole catalogue.
    received: BTreeSet<EntryName>,
    deadline: Time,
}

impl Sync {
    /// Starts a transfer when a peer has a newer revision and no transfer is in progress.
    pub(super) fn request_if_newer(
        &mut self,
        now: Time,
        from: &DaemonId,
        summary: &Summary,
        effects: &mut Vec<Effect>,
    ) {
        if self.transfer.is_none() && summary.revision > self.catalogue.revision() {
            self.start_transfer(now, from, self.catalogue.revision(), effects);
        }
    }

    fn start_transfer(
        &mut self,
        now: Time,
        from: &DaemonId,
        after: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.transfer = Some(Transfer {
            from: from.clone(),
            after,
            cursor: after,
            received: BTreeSet::new(),
            deadline: now + self.cfg.page_timeout,
        });
        let cursor = after;
        effects.push(send(from, Message::PageRequest { after, cursor }));
    }

    /// Requests the whole catalogue of a peer at the same revision when it may hold what this
    /// daemon lacks. That is so in two cases. The digests differ repeatedly, as after a store was
    /// restored from an old copy while both daemons were partitioned off; of two records, the one
    /// of higher rank is kept. Or the latest record of an entry breaks rules and this daemon
    /// never had a valid one.
    pub(super) fn repair_from_peer(
        &mut self,
        now: Time,
        from: &DaemonId,
        summary: &Summary,
        effects: &mut Vec<Effect>,
    ) {
        let own = self.summary();
        let is_same_revision = own.revision == summary.revision && self.transfer.is_none();
        if !is_same_revision || !now.has_reached(self.next_whole_transfer) {
            return;
        }
        if own.digest == summary.digest {
            self.mismatches = 0;
            if !self.catalogue.lacks_valid_records() {
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
        self.next_whole_transfer = now + WHOLE_TRANSFER_INTERVAL;
        self.start_transfer(now, from, Revision(0), effects);
    }

    /// Returns the page after `cursor` for a peer that requests edits after `after`.
    pub(super) fn page(&self, after: Revision, cursor: Revision) -> Message {
        let can_send_changes = after >= self.catalogue.tombstone_floor();
        let (after, cursor) = if after == Revision(0) || can_send_changes {
            (after, cursor)
        } else {
            (Revision(0), Revision(0))
        };
        let mut records = Vec::new();
        let (mut size, mut last, mut is_last) = (0, cursor, true);
        for (revision, record) in self.catalogue.since(cursor) {
            let is_full =
                size >= self.cfg.page_size.as_usize() || records.len() >= MAX_PAGE_RECORDS;
            // Records of one revision stay on one page: the cursor could not distinguish them.
            if is_full && revision > last {
                is_last = false;
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
            complete_to: is_last.then_some(self.catalogue.revision()),
        })
    }

    /// Handles a page of the transfer in progress and drops any other.
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
        let restarts = page.after == Revision(0) && transfer.received.is_empty();
        if !page.is_bounded(self.cfg.page_size) || (page.after != transfer.after && !restarts) {
            tracing::warn!(
                "catalogue: dropped a page from {from} that is too large or does not match the request"
            );
            return;
        }
        let records = match parse_page(&page) {
            Ok(records) => records,
            Err(e) => {
                tracing::warn!("catalogue: dropped a page from {from}: {e}");
                return;
            }
        };
        transfer.after = page.after;
        if page.after == Revision(0) {
            transfer
                .received
                .extend(records.iter().map(|(name, _)| name.clone()));
        }
        match page.complete_to {
            Some(complete_to) => {
                self.finish_transfer(now, &transfer, records, complete_to, rng, effects)
            }
            None if page.cursor > transfer.cursor || restarts => {
                self.catalogue.apply_partial(records);
                transfer.cursor = page.cursor;
                transfer.deadline = now + self.cfg.page_timeout;
                let (after, cursor) = (transfer.after, transfer.cursor);
                effects.push(send(from, Message::PageRequest { after, cursor }));
                self.transfer = Some(transfer);
            }
            None => {
                tracing::warn!("catalogue: {from} sent a page that does not advance the cursor")
            }
        }
    }

    fn finish_transfer(
        &mut self,
        now: Time,
        transfer: &Transfer,
        records: Vec<(EntryName, EncodedRecord)>,
        complete_to: Revision,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        if transfer.after == Revision(0) && complete_to > self.catalogue.revision() {
            self.catalogue
                .remove_missing(&transfer.received, complete_to);
        }
        self.apply(records, Some(complete_to), rng, effects);
        // Another peer may have reported a newer revision in the meantime.
        let ahead = self
            .reports
            .iter()
            .max_by_key(|(_, report)| report.revision);
        let ahead = ahead.filter(|(_, report)| report.revision > self.catalogue.revision());
        if let Some((peer, _)) = ahead {
            let peer = peer.clone();
            self.start_transfer(now, &peer, self.catalogue.revision(), effects);
        }
    }

    /// Abandons a transfer whose next page is overdue; the next summary starts another.
    pub(super) fn tick_transfer(&mut self, now: Time) {
        let overdue = self
            .transfer
            .take_if(|transfer| now.has_reached(transfer.deadline));
        if let Some(overdue) = overdue {
            tracing::debug!(
                "catalogue: no page from {} before the timeout",
                overdue.from
            );
        }
    }
}

fn parse_page(page: &Page) -> Result<Vec<(EntryName, EncodedRecord)>, RecordError> {
    let records = page.records.iter();
    records
        .map(|record| Ok((record.name.clone(), record.parse()?)))
        .collect()
}
