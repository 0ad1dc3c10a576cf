//! The stream of one upstream, as it arrives.

use dispatch::UpstreamOutcome;
use http1::Progress;
use http1::events::{Event, Splitter};
use types::prelude::*;

use crate::attempt::Stream;
use crate::exchange::NextLook;
use crate::held::HeldAnswer;
use crate::shared::Shared;

use super::Silence;

/// Time after which an upstream that sent bytes counts as silent.
const RECEIVING_TIME: Span = Span::from_secs(1);

/// Longest event that may arrive for as long as the stream may, in bytes.
const MAX_SLOW_EVENT: usize = 64 * 1024;

/// What the upstream sent next.
pub(super) enum NextRead {
    Events(Vec<Event>),
    End,
    /// The connection ended after a whole event, and the stream with it.
    EndOfConnection,
    Broken(&'static str, UpstreamOutcome),
}

/// The stream of one upstream. Its state outlasts a pause in relaying it.
pub(crate) struct Inbound<T> {
    pub(crate) stream: Stream<T>,
    splitter: Splitter,
    held: HeldAnswer,
    /// What was read and is not relayed yet.
    read: Option<NextRead>,
    pub(super) has_event: bool,
    /// When events last arrived.
    pub(super) heard_at: Time,
    /// When bytes last arrived.
    received_at: Time,
    /// Until when an end of the upstream's data may be due to the caller, which read slowly.
    pub(super) cut_off_until: Time,
    /// Its silence is not reported before that.
    pub(crate) next_look: NextLook,
}

impl<T> Inbound<T> {
    pub(crate) fn new(shared: &Shared<T>, stream: Stream<T>) -> Self {
        Self {
            stream,
            splitter: Splitter::default(),
            held: shared.held_answers.begin(),
            read: None,
            has_event: false,
            heard_at: shared.now(),
            received_at: Time::ZERO,
            cut_off_until: Time::ZERO,
            next_look: NextLook::now(),
        }
    }

    /// Ends a silent stream that keeps sending more bytes of one event than any has.
    ///
    /// # Errors
    /// Returns the silence of any other stream.
    pub(super) fn given_up(&self, now: Time, silence: Silence) -> Result<NextRead, Silence> {
        let is_receiving = now.since(self.received_at) < RECEIVING_TIME;
        let is_endless = is_receiving && self.splitter.buffered() > MAX_SLOW_EVENT;
        match is_endless && silence != Silence::Path {
            true => Ok(NextRead::Broken(
                "an event without end",
                UpstreamOutcome::Silent,
            )),
            false => Err(silence),
        }
    }

    /// Reads on until there is something to relay. May be dropped and called again.
    ///
    /// # Errors
    /// When the stream broke off, which is yet to be relayed.
    pub(crate) async fn fill(&mut self) -> Result<(), ()> {
        let read = match self.read.take() {
            Some(read) => read,
            None => self.read_next().await,
        };
        let is_broken = matches!(read, NextRead::Broken(..));
        self.read = Some(read);
        if is_broken { Err(()) } else { Ok(()) }
    }

    /// Takes what the upstream sent next.
    pub(super) async fn next(&mut self) -> NextRead {
        match self.read.take() {
            Some(read) => read,
            None => self.read_next().await,
        }
    }

    /// Waits until at least one whole event has arrived or the stream ended.
    async fn read_next(&mut self) -> NextRead {
        let Self {
            stream,
            splitter,
            held,
            received_at,
            ..
        } = self;
        loop {
            let mut has_ended = false;
            loop {
                let progress = stream.reader.read(&mut stream.wire.buf());
                match progress {
                    Ok(Progress::Data(data)) => splitter.push(&data),
                    Ok(Progress::NeedMore) => break,
                    Ok(Progress::Done) => {
                        has_ended = true;
                        break;
                    }
                    Err(_) => {
                        return NextRead::Broken(
                            "garbled within its stream",
                            UpstreamOutcome::Incomplete,
                        );
                    }
                }
            }
            let taken = take_events(splitter);
            if !held.set_len(splitter.buffered()) {
                return NextRead::Broken("an event was too large", UpstreamOutcome::Incomplete);
            }
            match taken {
                Ok(events) if !events.is_empty() => return NextRead::Events(events),
                Ok(_) => {}
                Err(why) => return NextRead::Broken(why, UpstreamOutcome::Incomplete),
            }
            if has_ended {
                return end_reason(splitter);
            }
            match stream.wire.fill().await {
                Ok(0) if stream.reader.ends_with_connection() => {
                    if stream.wire.acknowledged().await.is_err() {
                        let why = "ended before its request was read";
                        return NextRead::Broken(why, UpstreamOutcome::Incomplete);
                    }
                    return match end_reason(splitter) {
                        NextRead::End => NextRead::EndOfConnection,
                        broken => broken,
                    };
                }
                Ok(0) | Err(_) => {
                    return NextRead::Broken("cut within its stream", UpstreamOutcome::Incomplete);
                }
                Ok(_) => *received_at = stream.now(),
            }
        }
    }
}

fn end_reason(splitter: &Splitter) -> NextRead {
    match splitter.has_rest() {
        true => NextRead::Broken("ended within an event", UpstreamOutcome::Incomplete),
        false => NextRead::End,
    }
}

fn take_events(splitter: &mut Splitter) -> Result<Vec<Event>, &'static str> {
    let mut events = Vec::new();
    while let Some(event) = splitter
        .next_event()
        .map_err(|_| "an event was too large")?
    {
        events.push(event);
    }
    Ok(events)
}
