//! Relaying a stream event by event, across as many upstreams as it takes.

mod inbound;

use std::time::Duration;

use dispatch::UpstreamOutcome;
use http1::Wire;
use http1::events::Event;
use http1::write::{LAST_CHUNK, push_chunk};
use types::prelude::*;

use crate::answer::{push_connection, push_head};
use crate::attempt::{CRASHED_AT_END, Stream};
use crate::attempt_guard::AttemptGuard;
use crate::exchange::Request;
use crate::shared::Shared;
use crate::translate::Translator;

pub(crate) use inbound::Inbound;
use inbound::NextRead;

/// Multiple of the longest pause that is on time. When an engine is silent on all connections for
/// longer, the stream resumes elsewhere if it can. A live engine may be silent for two or three
/// seconds while it prefills long prompts.
const MUTE_PAUSES: f64 = 1.5;
/// Multiple of the longest pause that is on time. When a stream alone is silent for longer, it
/// resumes elsewhere though its engine is alive: the engine has preempted it, and a re-prefill
/// elsewhere takes less time.
const STALLED_PAUSES: f64 = 2.5;
/// Share of the objective added to the expected time of a first event, since a daemon cannot see
/// all the work of an engine. With less slack, prefills are wasted: in a day with 90 engines, 602
/// of 4,196 requests were abandoned after 0.8 s.
const FIRST_SLACK_SHARE: f64 = 0.8;
/// Longest pause that is on time where the route names none.
const DEFAULT_PAUSE: Span = Span::from_secs(2);
/// Events of a stream beyond one for each token of output, such as its end.
const EXTRA_EVENTS: u64 = 16;
/// Time for which the caller may leave data unread before its upstream may have cut the answer off.
const UNREAD_TIMEOUT: Span = Span::from_secs(1);
/// Time after that in which the end of the upstream's data may be due to it: what was sent before is
/// still read.
const CUT_OFF_WITHIN: Span = Span::from_secs(5);
/// Why an answer is not complete that ended like one.
const CUT_OFF_UNREAD: &str = "ended while it was left unread";
/// Interval at which silence is checked.
const SILENCE_POLL: Duration = Duration::from_millis(100);

/// How relaying from one upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEnd {
    /// The caller has the whole stream.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The upstream broke off; the events delivered so far are whole.
    Broken(&'static str, UpstreamOutcome),
    /// The path to the upstream was lost; the events delivered so far are whole.
    PathLost,
    /// The upstream sent more events than were asked for; those delivered so far are whole.
    TooLong,
}

/// What is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Silence {
    /// The upstream, and in which way.
    Upstream(&'static str),
    /// The path to it, which is lost.
    Path,
}

impl Silence {
    /// Describes it in the log.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::Upstream(why) => why,
            Self::Path => "path lost within its stream",
        }
    }
}

/// The stream to one caller, across upstreams.
#[derive(Debug)]
pub(crate) struct Relay {
    last: Option<u64>,
    delivered: u64,
    first_at: Option<Time>,
}

impl Relay {
    /// Creates a relay to a caller who has the events up to `resume_after`.
    pub(crate) fn new(resume_after: Option<u64>) -> Self {
        Self {
            last: resume_after,
            delivered: 0,
            first_at: None,
        }
    }

    /// Whether anything was delivered to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.first_at.is_some()
    }

    pub(crate) fn first_at(&self) -> Option<Time> {
        self.first_at
    }

    /// The last event that the caller has.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.last
    }

    pub(crate) fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Relays the stream of one upstream until it ends.
    ///
    /// # Errors
    /// When it falls silent. It may be relayed on.
    pub(crate) async fn run<T: Translator>(
        &mut self,
        shared: &Shared<T>,
        caller: &Wire,
        request: &Request<T>,
        inbound: &mut Inbound<T>,
        keeps_alive: bool,
    ) -> Result<RelayEnd, Silence> {
        let max_events = max_events(request);
        // One timer for the whole stream: one for each event would be a tenth of its cost.
        let mut ticker = tokio::time::interval(SILENCE_POLL);
        loop {
            let next = tokio::select! {
                biased;
                next = inbound.next() => next,
                _ = ticker.tick() => match silence(shared, request, inbound) {
                    Some(silence) => inbound.given_up(shared.now(), silence)?,
                    None => continue,
                },
            };
            let is_broken = matches!(next, NextRead::Broken(..));
            if is_broken && inbound.stream.is_path_lost(inbound.heard_at) {
                return Ok(RelayEnd::PathLost);
            }
            inbound.heard_at = shared.now();
            inbound.stream.note_heard();
            let mut events = match without_cut_off(shared, inbound, next).await {
                NextRead::Events(events) => events,
                NextRead::EndOfConnection if inbound.stream.has_crashed_at_end().await => {
                    return Ok(RelayEnd::Broken(
                        CRASHED_AT_END,
                        UpstreamOutcome::Incomplete,
                    ));
                }
                NextRead::End | NextRead::EndOfConnection => {
                    return Ok(self.end(caller, inbound, keeps_alive).await);
                }
                NextRead::Broken(why, outcome) => return Ok(RelayEnd::Broken(why, outcome)),
            };
            if !inbound.has_event {
                inbound.has_event = true;
                inbound.stream.note_first_event();
            }
            let mut out = Vec::new();
            if !self.has_begun() {
                self.first_at = Some(shared.now());
                push_stream_head(&mut out, &inbound.stream, keeps_alive);
            }
            let left = max_events.map_or(u64::MAX, |max| max.saturating_sub(self.delivered));
            let is_too_long = events.len() as u64 > left;
            events.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            let is_in_order = self.append(&mut out, events);
            if deliver(shared, caller, inbound, &out).await.is_err() {
                return Ok(RelayEnd::CallerGone);
            }
            if is_too_long {
                return Ok(RelayEnd::TooLong);
            }
            if !is_in_order {
                return Ok(RelayEnd::Broken(
                    "an event was missing or repeated",
                    UpstreamOutcome::Incomplete,
                ));
            }
        }
    }

    /// Appends events in order; false at the first that does not follow the last one.
    ///
    /// An upstream may resume at the wrong event. The caller would get one twice or miss one, and
    /// could not notice.
    fn append(&mut self, out: &mut Vec<u8>, events: Vec<Event>) -> bool {
        for event in events {
            let follows = match (event.id, self.last) {
                (Some(id), Some(last)) => id == last + 1,
                (Some(_), None) | (None, _) => true,
            };
            if !follows {
                return false;
            }
            self.last = event.id.or(self.last);
            self.delivered += 1;
            push_chunk(out, &event.raw);
        }
        true
    }

    async fn end<T>(&mut self, caller: &Wire, inbound: &Inbound<T>, keeps_alive: bool) -> RelayEnd {
        let mut out = Vec::new();
        if !self.has_begun() {
            if !inbound.has_event && self.last.is_none() {
                return RelayEnd::Broken("ended without an event", UpstreamOutcome::Incomplete);
            }
            push_stream_head(&mut out, &inbound.stream, keeps_alive);
        }
        out.extend_from_slice(LAST_CHUNK);
        match caller.write_all(&out).await {
            Ok(()) => RelayEnd::Complete,
            Err(_) => RelayEnd::CallerGone,
        }
    }
}

/// What is silent, so that another upstream is looked for; none if nothing is.
fn silence<T>(shared: &Shared<T>, request: &Request<T>, inbound: &Inbound<T>) -> Option<Silence> {
    if !inbound.next_look.is_due(shared.now()) {
        return None;
    }
    let Inbound {
        stream,
        heard_at,
        has_event,
        ..
    } = inbound;
    let why = stream.silence_reason(request, *heard_at, *has_event);
    match why.filter(|_| stream.leaves_silent) {
        Some(why) => Some(Silence::Upstream(why)),
        None => stream.is_path_lost(*heard_at).then_some(Silence::Path),
    }
}

/// Writes data to the caller, and notes if it left data unread for long.
async fn deliver<T>(
    shared: &Shared<T>,
    caller: &Wire,
    inbound: &mut Inbound<T>,
    data: &[u8],
) -> std::io::Result<()> {
    let from = shared.now();
    caller.write_all(data).await?;
    let now = shared.now();
    if now.since(from) >= UNREAD_TIMEOUT {
        inbound.cut_off_until = now + CUT_OFF_WITHIN;
    }
    Ok(())
}

/// Takes an end of the data as broken off if the upstream may have cut it off since the caller
/// left it unread. Between two events that looks like the end of the stream; and a slow caller is
/// no failure of the upstream. A crash still counts as one: otherwise requests that crash
/// upstreams would leave no evidence when their callers read slowly.
async fn without_cut_off<T: Translator>(
    shared: &Shared<T>,
    inbound: &Inbound<T>,
    next: NextRead,
) -> NextRead {
    if shared.now() >= inbound.cut_off_until {
        return next;
    }
    match next {
        NextRead::EndOfConnection | NextRead::Broken(_, UpstreamOutcome::Incomplete)
            if inbound.stream.has_crashed_at_end().await =>
        {
            NextRead::Broken(CRASHED_AT_END, UpstreamOutcome::Incomplete)
        }
        NextRead::EndOfConnection => NextRead::Broken(CUT_OFF_UNREAD, UpstreamOutcome::Cancelled),
        NextRead::Broken(why, _) => NextRead::Broken(why, UpstreamOutcome::Cancelled),
        other => other,
    }
}

fn push_stream_head<T>(out: &mut Vec<u8>, stream: &Stream<T>, keeps_alive: bool) {
    push_head(out, &stream.head);
    out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    push_connection(out, keeps_alive);
    out.extend_from_slice(b"\r\n");
}

/// Most events that a request's answer can have: one for each token of output that it asks for, and
/// some that hold none.
fn max_events<T>(request: &Request<T>) -> Option<u64> {
    let prompt = request.ask.prompt.as_ref();
    let tokens = prompt.map(|prompt| u64::from(prompt.max_output));
    tokens
        .filter(|tokens| *tokens > 0)
        .map(|tokens| tokens + EXTRA_EVENTS)
}

/// Why another upstream is looked for in place of a silent one; none if it isn't.
pub(crate) fn silence_reason<T>(
    request: &Request<T>,
    guard: &AttemptGuard<T>,
    silent: Span,
    has_event: bool,
) -> Option<&'static str> {
    let route = &request.route;
    let pause = route.max_pause.unwrap_or(DEFAULT_PAUSE).as_secs_f64();
    let slack = route.objective.as_secs_f64() * FIRST_SLACK_SHARE;
    let (expected, stalled) = match has_event {
        true => (Span::ZERO, Span::from_secs_f64(pause * STALLED_PAUSES)),
        false => {
            let expected = guard.first_output_within();
            (expected, expected + Span::from_secs_f64(slack))
        }
    };
    if silent > stalled {
        return Some("stalled");
    }
    let mute_limit = expected.max(Span::from_secs_f64(pause * MUTE_PAUSES));
    let is_upstream_mute = guard.upstream_silent_for().min(silent) > mute_limit;
    is_upstream_mute.then_some("silent on all connections")
}
