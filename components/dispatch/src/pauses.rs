//! Times in which this process stood still, since its host was suspended or too busy.

use types::prelude::*;

/// Least time between two signs of life that counts as a pause.
const MIN_PAUSE: Span = Span::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Pause {
    since: Time,
    /// What arrived meanwhile has been read by then.
    read_until: Time,
}

/// Detects pauses by the process's signs of life, several of which are expected each second.
#[derive(Debug, Default)]
pub struct Pauses {
    awake_at: Option<Time>,
    last: Option<Pause>,
}

impl Pauses {
    /// Records that the process runs.
    pub fn record_awake(&mut self, now: Time) {
        let Some(since) = self.awake_at.replace(now) else {
            return;
        };
        let length = now.since(since);
        if length >= MIN_PAUSE {
            self.last = Some(Pause {
                since,
                read_until: now + length,
            });
        }
    }

    /// Since when something that is read now may have waited for the process to go on; `None` if it
    /// did not wait.
    #[must_use]
    pub fn waited_since(&self, now: Time) -> Option<Time> {
        let pause = self.last.filter(|pause| now < pause.read_until);
        pause.map(|pause| pause.since)
    }
}
