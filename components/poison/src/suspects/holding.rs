//! Holding back requests whose prompts carry a suspected part.
//!
//! Requests with a part that crashes upstreams come several times a second. While the first crash is
//! being noticed, more of them are on their way, and by the third each has taken an upstream down.
//! So a part is suspected from its first crash on, unless a request with it was answered lately:
//! requests with it wait for a moment, and those that no upstream has started are taken back. Then
//! one daemon at a time sends one. Its answer clears the part; its crash is further evidence.

use types::prelude::*;

use super::Suspects;
use super::evidence::Suspect;
use crate::content::{Content, Contents};
use crate::updates::ContentEvent;

/// Requests with a suspected part wait for this long after its last crash: by then those in flight
/// have crashed their upstreams as well, or were answered.
const HOLD: Span = Span::from_millis(300);
/// Requests that lost an upstream themselves wait longer: a crash under a different one tells whether
/// it is the part.
const HIT_HOLD: Span = Span::from_millis(200);
/// Delay between daemons that send a suspected part, so that they hear of the first one.
const PROBE_SPACING: Span = Span::from_millis(100);
/// Bound on these delays in a large fleet.
const MAX_PROBE_SPREAD: Span = Span::from_millis(600);
/// The outcome of a request with a suspected part is known within this time; until then others
/// wait.
const PROBE_TIMEOUT: Span = Span::from_secs(1);
/// A request is taken back when its part has been suspected for this long: other daemons may know
/// that it is harmless.
const WITHDRAW_AFTER: Span = Span::from_millis(100);

impl Suspects {
    /// Until when a request should wait for the outcome of others with a suspected part of its
    /// prompt; none if it may be sent.
    #[must_use]
    pub fn held_until(
        &self,
        now: Time,
        contents: &Contents,
        customer: Option<&str>,
    ) -> Option<Time> {
        let suspected = self.suspected_parts(contents, customer);
        let is_hit = self.suspects.contains_key(&contents.whole());
        let extra = if is_hit { HIT_HOLD } else { Span::ZERO };
        let until = suspected.map(|(part, suspect)| self.hold_of(part, suspect) + extra);
        until.max().filter(|until| !now.has_reached(*until))
    }

    /// Whether a request should be sent where few others are in flight: its content is one crash short
    /// of quarantine or closer, or a part of its prompt is suspected.
    #[must_use]
    pub fn is_suspect_of(&self, contents: &Contents, customer: Option<&str>) -> bool {
        let has_suspected_part = self.suspected_parts(contents, customer).next().is_some();
        has_suspected_part || self.is_suspect(contents.whole())
    }

    /// Records that a request is sent, if its prompt carries suspected parts.
    pub fn probe_sent(&mut self, now: Time, contents: &Contents, customer: Option<&str>) {
        let suspected = self.suspected_parts(contents, customer);
        let suspected = suspected.map(|(part, _)| part).collect::<Vec<_>>();
        for part in suspected {
            self.merge(now, part, ContentEvent::Trial, now);
        }
    }

    /// Whether a request that was sent and that no upstream has started should be taken back: an
    /// upstream has crashed under a part of its prompt since.
    #[must_use]
    pub fn should_withdraw(
        &self,
        now: Time,
        contents: &Contents,
        customer: Option<&str>,
        sent_at: Time,
    ) -> bool {
        let mut suspected = self.suspected_parts(contents, customer);
        suspected.any(|(_, suspect)| {
            let crashed_at = suspect.last_crash_at();
            crashed_at > sent_at && now.has_reached(crashed_at + WITHDRAW_AFTER)
        })
    }

    /// The parts of a request's prompt under which upstreams crashed, without explanation by others,
    /// and that are not quarantined for it.
    fn suspected_parts<'a>(
        &'a self,
        contents: &'a Contents,
        customer: Option<&'a str>,
    ) -> impl Iterator<Item = (Content, &'a Suspect)> {
        let contents_of = (!self.suspects.is_empty()).then(|| contents.iter());
        let parts = contents_of.into_iter().flatten();
        let parts = parts.filter(Content::is_part);
        let suspects = parts.filter_map(|part| Some((part, self.suspects.get(&part)?)));
        suspects.filter(move |(_, suspect)| match suspect.quarantined_since {
            None => !suspect.is_explained && !suspect.crashes.is_empty(),
            Some(_) => !suspect.applies_to(contents, customer),
        })
    }

    fn hold_of(&self, part: Content, suspect: &Suspect) -> Time {
        let crashed_at = suspect.last_crash_at();
        let delay = self.turn_delay(part, PROBE_SPACING, MAX_PROBE_SPREAD);
        let hold = crashed_at + HOLD + delay;
        let probe = suspect.trial_at.filter(|at| *at > crashed_at);
        probe.map_or(hold, |at| hold.max(at + PROBE_TIMEOUT))
    }
}
