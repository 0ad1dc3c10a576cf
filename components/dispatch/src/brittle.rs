//! Admission to upstreams that break down when they have to reject too many requests.
//!
//! Such an upstream names how many requests it can reject in a second, for want of room, before it
//! falls over with all its work. Rejections come from all daemons together, and each knows the
//! others' requests only in part and late. So the fleet keeps below the room that is certain: what
//! runs at once, and half of the rejections. Each daemon has an equal share of that, at least one
//! request, and reckons with the load that the others report. Where there are more daemons than
//! room, each sends to a part of the upstreams only. One that is rejected leaves the upstream alone
//! for so long that all daemons together keep to the rate.
//!
//! An upstream that has just started gets requests one by one: its room grows with its answers.
//!
//! All upstreams of a service are taken as brittle when one of them is: an answer of another may
//! come too late to tell.

use std::collections::HashMap;
use std::sync::Arc;

use ratelimit::Fleet;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

/// Share of the rejections that may be used up by requests that are sent at one moment.
const SPARE_SHARE: f64 = 0.5;
/// Least pause after a rejection.
const MIN_PAUSE: Span = Span::from_secs(1);
/// Pause until a request that finds no room may find some.
const BUSY_PAUSE: Span = Span::from_millis(50);
/// Time without a sign of brittleness after which a service is no longer taken as brittle.
const LIFTED_AFTER: Span = Span::from_secs(1);

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
}

impl Default for BrittleServices {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            daemons: 1,
            place: 0,
        }
    }
}

impl BrittleServices {
    pub(crate) fn set_fleet(&mut self, fleet: &Fleet) {
        self.daemons = fleet.size();
        self.place = fleet.place();
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
}

impl Upstreams {
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

    /// Services that are taken as brittle, with the rejections a second that they can bear.
    pub fn brittle(&self) -> impl Iterator<Item = (&str, Rate)> {
        let services = self.brittle.services.iter();
        services.map(|(service, brittle)| (&**service, brittle.max_rejections))
    }

    /// Records that an upstream rejected a request for want of room.
    pub fn record_rejection(&mut self, now: Time, index: UpstreamIndex) {
        let daemons = self.brittle.daemons as f64;
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.window.answers = 0;
        if let Some(brittle) = self.brittle.services.get(&entry.spec.service) {
            let bearable = brittle.max_rejections.0.max(1.0);
            let pause = Span::from_secs_f64(daemons / bearable);
            entry.window.paused_until = now + pause.max(MIN_PAUSE);
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
        let BrittleServices { daemons, place, .. } = self.brittle;
        candidates.sort_by_key(|(_, entry)| xxh3_64(entry.spec.id.as_str().as_bytes()));
        let count = candidates.len();
        let rooms = candidates.iter();
        let rooms = rooms.map(|(_, entry)| BrittleServices::room(brittle, entry));
        let each = (rooms.sum::<f64>() / daemons as f64) as usize;
        let each = each.clamp(1, count);
        candidates.rotate_left(place % count);
        candidates.truncate(each);
        ((daemons * each) as f64 / count as f64).max(1.0)
    }
}

/// Whether an upstream has room for one more request of this daemon, one of the `senders`.
fn has_room(now: Time, entry: &Entry, brittle: BrittleService, senders: f64) -> bool {
    let room = BrittleServices::room(brittle, entry);
    let share = (room / senders).max(1.0);
    let share = share.min(f64::from(entry.window.answers) + 1.0);
    let all = f64::from(entry.in_flight + entry.remote.in_flight);
    now.has_reached(entry.window.paused_until)
        && f64::from(entry.in_flight) + 1.0 <= share
        && all + 1.0 <= room
}

impl Window {
    /// Records an answer to a request that was let in.
    pub(crate) fn record_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }
}
