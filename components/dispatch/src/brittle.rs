//! Admission to upstreams that break down when they have to reject too many requests.
//!
//! Such an upstream names how many requests it can reject in a second, for want of room, before it
//! falls over with all its work. Rejections come from all daemons together, and each knows the
//! others' requests only in part and late. So the fleet keeps below the room that is certain: what
//! runs at once, and half of the rejections. Each daemon has an equal share of that, at least one
//! request, and reckons with the load that the others report. Where there are more daemons than
//! room, each sends to a part of the upstreams only. A daemon whose share is used up asks one that has
//! a share of the upstream for a single request, see [`crate::leases`]. One that is rejected leaves the
//! upstream alone for so long that all daemons together keep to the rate.
//!
//! An upstream that has just started gets requests one by one: its room grows with its answers.
//!
//! All upstreams of a service are taken as brittle when one of them is: an answer of another may
//! come too late to tell.

use std::collections::HashMap;
use std::sync::Arc;

use ratelimit::{DaemonKey, Fleet};
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

/// Share of the rejections that may be used up by requests that are sent at one moment.
const SPARE_SHARE: f64 = 0.5;
/// Least pause after a rejection.
const MIN_PAUSE: Span = Span::from_secs(1);
/// Pause until a request that finds no room may find some.
pub(crate) const BUSY_PAUSE: Span = Span::from_millis(50);
/// Time without a sign of brittleness after which a service is no longer taken as brittle.
pub(crate) const LIFTED_AFTER: Span = Span::from_secs(1);

/// What an answer advertises about its upstream's brittleness.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Brittleness {
    /// It is not brittle.
    #[default]
    Nothing,
    /// It falls over when it has to reject more than this many requests in a second.
    MaxRejections(Rate),
    /// A value that cannot be read, which changes nothing.
    Invalid,
}

/// A brittle service as daemons tell each other of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BrittleAdvertisement {
    /// Hash of the service's name.
    pub service: u32,
    /// Rejections a second that its upstreams can bear.
    pub max_rejections: f32,
    /// Time since the request was sent whose answer said so, in ms.
    pub age_ms: u16,
}

impl BrittleAdvertisement {
    fn max_rejections(&self) -> Option<Rate> {
        let max = f64::from(self.max_rejections);
        (max.is_finite() && max > 0.0).then_some(Rate(max))
    }
}

fn hash_of(service: &str) -> u32 {
    xxh3_64(service.as_bytes()) as u32
}

/// A brittle service.
#[derive(Debug, Clone, Copy)]
struct BrittleService {
    max_rejections: Rate,
    /// When the latest request whose answer advertised it was sent.
    advertised_at: Time,
}

/// The brittle services, and this daemon's part of the fleet that sends to them.
#[derive(Debug)]
pub(crate) struct BrittleServices {
    services: HashMap<Arc<str>, BrittleService>,
    daemons: usize,
    /// This daemon's place among them.
    place: usize,
    /// All daemons by their places.
    order: Vec<DaemonKey>,
}

impl Default for BrittleServices {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            daemons: 1,
            place: 0,
            order: Vec::new(),
        }
    }
}

/// Division of a brittle service's upstreams among the daemons.
#[derive(Debug, Clone, Copy)]
struct Division {
    /// Number of upstreams.
    count: usize,
    /// Upstreams that each daemon with a share sends to.
    each: usize,
    /// Daemons that have a share: those at the first places.
    owners: usize,
    /// Daemons that send to each upstream.
    senders: f64,
}

impl Division {
    /// Whether the daemon at `place` sends to the upstream at `position`.
    fn contains(&self, place: usize, position: usize) -> bool {
        let offset = position + self.count - place % self.count;
        place < self.owners && offset % self.count < self.each
    }
}

impl BrittleServices {
    pub(crate) fn set_fleet(&mut self, fleet: &Fleet) {
        self.daemons = fleet.size();
        self.place = fleet.place();
        self.order = fleet.in_order();
    }

    /// Divides upstreams among the daemons.
    fn divide(&self, brittle: BrittleService, upstreams: &[(UpstreamIndex, &Entry)]) -> Division {
        let count = upstreams.len().max(1);
        let rooms = upstreams
            .iter()
            .map(|(_, entry)| Self::room(brittle, entry));
        let each = (rooms.clone().sum::<f64>() / self.daemons as f64) as usize;
        let each = each.clamp(1, count);
        let least_room = rooms.fold(f64::INFINITY, f64::min);
        let owners = self
            .daemons
            .min((least_room as usize).saturating_mul(count));
        Division {
            count,
            each,
            owners,
            senders: ((owners * each) as f64 / count as f64).max(1.0),
        }
    }

    /// The requests of the fleet that have room at an upstream.
    fn room(brittle: BrittleService, entry: &Entry) -> f64 {
        let spare = brittle.max_rejections.0 * SPARE_SHARE;
        f64::from(entry.spec.slots.max(1)) + spare
    }
}

/// What this daemon may have in flight at one brittle upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    /// Answers since the start or the last rejection.
    answers: u32,
    paused_until: Time,
    /// No request is leased from other daemons before this time.
    leases_paused_until: Time,
}

/// A brittle service's upstreams that get new requests, and their division among the daemons.
pub(crate) struct RoomShares<'a> {
    brittle: BrittleService,
    fleet: &'a BrittleServices,
    division: Division,
    upstreams: Vec<(UpstreamIndex, &'a Entry)>,
}

impl RoomShares<'_> {
    fn position(&self, index: UpstreamIndex) -> Option<usize> {
        self.upstreams.iter().position(|(known, _)| *known == index)
    }

    /// Whether this daemon has a share of an upstream's room.
    fn is_owner(&self, index: UpstreamIndex) -> bool {
        let position = self.position(index);
        position.is_some_and(|position| self.division.contains(self.fleet.place, position))
    }

    pub(crate) fn max_rejections(&self) -> Rate {
        self.brittle.max_rejections
    }

    /// The daemons that have a share of an upstream's room, this one included.
    pub(crate) fn owners(&self, index: UpstreamIndex) -> impl Iterator<Item = DaemonKey> {
        let Division {
            count,
            each,
            owners,
            ..
        } = self.division;
        let position = self.position(index);
        let first_places = position.into_iter().flat_map(move |position| {
            let offsets = 0..each;
            offsets.map(move |offset| (position + count - offset) % count)
        });
        let order = &self.fleet.order[..owners.min(self.fleet.order.len())];
        first_places.flat_map(move |first| order.iter().skip(first).step_by(count).copied())
    }

    /// Whether this daemon may lend a request by its share of an upstream's room.
    pub(crate) fn can_lend(&self, now: Time, index: UpstreamIndex, entry: &Entry) -> bool {
        self.is_owner(index)
            && has_room(now, entry, self.brittle, self.division.senders)
            && has_free_slot(entry)
    }

    /// Whether an upstream can run one more request that another daemon may lend. What it can reject
    /// is left to requests that daemons send without knowing of each other's.
    pub(crate) fn has_slot_elsewhere(&self, now: Time, entry: &Entry) -> bool {
        let window = &entry.window;
        now.has_reached(window.leases_paused_until)
            && entry.in_flight <= window.answers
            && has_free_slot(entry)
    }

    /// The room of all daemons at an upstream, and this daemon's share of it, in requests.
    pub(crate) fn shares(&self, index: UpstreamIndex, entry: &Entry) -> (f64, f64) {
        let room = BrittleServices::room(self.brittle, entry);
        let share = (room / self.division.senders).max(1.0);
        (room, if self.is_owner(index) { share } else { 0.0 })
    }
}

impl Upstreams {
    /// How the room of a service's upstreams is divided; `None` unless it is brittle.
    pub(crate) fn room_shares(&self, service: &str) -> Option<RoomShares<'_>> {
        let brittle = *self.brittle.services.get(service)?;
        let indices = self.by_service.get(service).into_iter().flatten();
        let entries = indices.filter_map(|index| Some((*index, self.entries.get(index)?)));
        let mut upstreams = entries
            .filter(|(_, entry)| entry.takes_requests())
            .collect::<Vec<_>>();
        sort_by_id(&mut upstreams);
        Some(RoomShares {
            brittle,
            fleet: &self.brittle,
            division: self.brittle.divide(brittle, &upstreams),
            upstreams,
        })
    }

    /// Records the brittleness in an answer whose request was sent at `sent_at`. Returns whether the
    /// service has become brittle or has ceased to be.
    pub fn observe_brittleness(
        &mut self,
        index: UpstreamIndex,
        sent_at: Time,
        advertised: Brittleness,
    ) -> bool {
        let Some(entry) = self.entries.get(&index) else {
            return false;
        };
        let service = &entry.spec.service;
        let known = self.brittle.services.get(service).copied();
        match advertised {
            Brittleness::Invalid => false,
            Brittleness::MaxRejections(max_rejections) => {
                let advertised_at = known.map_or(sent_at, |known| known.advertised_at.max(sent_at));
                let brittle = BrittleService {
                    max_rejections,
                    advertised_at,
                };
                self.brittle.services.insert(Arc::clone(service), brittle);
                known.is_none()
            }
            Brittleness::Nothing => {
                let is_over =
                    known.is_some_and(|known| sent_at >= known.advertised_at + LIFTED_AFTER);
                is_over && self.brittle.services.remove(service).is_some()
            }
        }
    }

    /// Returns the services that answers have lately shown to be brittle, for the other daemons.
    #[must_use]
    pub fn advertise_brittleness(&self, now: Time) -> Vec<BrittleAdvertisement> {
        let services = self.brittle.services.iter();
        let ads = services.filter_map(|(service, brittle)| {
            let age = now.since(brittle.advertised_at);
            (age < LIFTED_AFTER).then(|| BrittleAdvertisement {
                service: hash_of(service),
                max_rejections: brittle.max_rejections.0 as f32,
                age_ms: age.as_millis() as u16,
            })
        });
        ads.collect()
    }

    /// Merges a brittle service that another daemon advertises. What this daemon's own answers said
    /// goes first.
    pub fn merge_brittleness(&mut self, now: Time, ad: &BrittleAdvertisement) {
        let age = Span::from_millis(u64::from(ad.age_ms));
        let Some(max_rejections) = ad.max_rejections().filter(|_| age < LIFTED_AFTER) else {
            return;
        };
        let mut services = self.by_service.keys();
        if let Some(service) = services.find(|service| hash_of(service) == ad.service) {
            let service = Arc::clone(service);
            self.learn_brittleness(&service, now - age, max_rejections);
        }
    }

    /// Records that another daemon knows a service as brittle.
    pub(crate) fn learn_brittleness(
        &mut self,
        service: &Arc<str>,
        advertised_at: Time,
        max_rejections: Rate,
    ) {
        let known = self.brittle.services.entry(Arc::clone(service));
        let known = known.or_insert(BrittleService {
            max_rejections,
            advertised_at,
        });
        known.advertised_at = known.advertised_at.max(advertised_at);
    }

    /// Services that are taken as brittle, with the rejections a second that they can bear.
    pub fn brittle(&self) -> impl Iterator<Item = (&str, Rate)> {
        let services = self.brittle.services.iter();
        services.map(|(service, brittle)| (&**service, brittle.max_rejections))
    }

    /// Records that an upstream rejected, for want of room, a request that this daemon's share let
    /// in.
    pub fn record_rejection(&mut self, now: Time, index: UpstreamIndex) {
        let daemons = self.brittle.daemons as f64;
        self.record_leased_rejection(now, index);
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        if let Some(brittle) = self.brittle.services.get(&entry.spec.service) {
            let bearable = brittle.max_rejections.0.max(1.0);
            let pause = Span::from_secs_f64(daemons / bearable);
            entry.window.paused_until = now + pause.max(MIN_PAUSE);
        }
    }

    /// Records that an upstream rejected, for want of room, a request that another daemon's share
    /// let in: that one pauses.
    pub fn record_leased_rejection(&mut self, now: Time, index: UpstreamIndex) {
        self.record_full(now, index);
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.window.answers = 0;
            entry.window.leases_paused_until = now + MIN_PAUSE;
        }
    }

    /// Retains the upstreams that have room for one more request of this daemon.
    ///
    /// # Errors
    /// When none does, with the time at which one may.
    pub(crate) fn retain_with_room(
        &self,
        now: Time,
        service: &str,
        candidates: &mut Vec<(UpstreamIndex, &Entry)>,
    ) -> Result<(), Time> {
        let Some(brittle) = self.brittle.services.get(service) else {
            return Ok(());
        };
        let senders = self.retain_own_part(*brittle, candidates);
        let paused = candidates
            .iter()
            .map(|(_, entry)| entry.window.paused_until);
        let earliest = paused.min().unwrap_or(now).max(now + BUSY_PAUSE);
        candidates.retain(|(_, entry)| has_room(now, entry, *brittle, senders));
        match candidates.is_empty() {
            true => Err(earliest),
            false => Ok(()),
        }
    }

    /// Retains the upstreams that this daemon sends to, and returns how many daemons send to each.
    ///
    /// A large fleet is divided among the upstreams, in turn by the daemons' places, so that those
    /// of one upstream find room there with a request each. The upstreams that a request may still
    /// go to are divided, so it finds another when one has failed.
    fn retain_own_part(
        &self,
        brittle: BrittleService,
        candidates: &mut Vec<(UpstreamIndex, &Entry)>,
    ) -> f64 {
        let division = self.brittle.divide(brittle, candidates);
        sort_by_id(candidates);
        candidates.rotate_left(self.brittle.place % division.count);
        let is_owner = self.brittle.place < division.owners;
        candidates.truncate(if is_owner { division.each } else { 0 });
        division.senders
    }
}

/// Sorts upstreams in an order on which all daemons agree.
fn sort_by_id(upstreams: &mut [(UpstreamIndex, &Entry)]) {
    upstreams.sort_by_key(|(_, entry)| xxh3_64(entry.spec.id.as_str().as_bytes()));
}

/// Whether an upstream has room for one more request by the share of this daemon, one of the
/// `senders`.
fn has_room(now: Time, entry: &Entry, brittle: BrittleService, senders: f64) -> bool {
    let room = BrittleServices::room(brittle, entry);
    let share = (room / senders).max(1.0);
    let share = share.min(f64::from(entry.window.answers) + 1.0);
    let by_own_share = entry.in_flight.saturating_sub(entry.leased) + entry.lent;
    now.has_reached(entry.window.paused_until)
        && f64::from(by_own_share) + 1.0 <= share
        && fits(entry, brittle)
}

/// Whether an upstream runs fewer requests than it can, as far as is known.
fn has_free_slot(entry: &Entry) -> bool {
    entry.in_flight + entry.lent + entry.remote.in_flight < entry.spec.slots
}

/// Whether one more request fits an upstream's room beside those of all daemons.
fn fits(entry: &Entry, brittle: BrittleService) -> bool {
    let all = f64::from(entry.in_flight + entry.remote.in_flight);
    all + 1.0 <= BrittleServices::room(brittle, entry)
}

impl Window {
    /// Records an answer to a request that was let in.
    pub(crate) fn record_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }
}
