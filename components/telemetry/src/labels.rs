//! Labels of metrics. Their values come from fixed sets, so that no caller can create series.

use std::fmt::{Error, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

macro_rules! label_value {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }

        impl $name {
            /// All values.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// Returns the value as printed in metrics.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), Error> {
                encoder.write_str(self.as_str())
            }
        }
    };
}

label_value!(
    /// Outcome of a request for its caller.
    Outcome {
        /// The whole answer was delivered.
        Answered => "answered",
        /// Refused without being run.
        Refused => "refused",
        /// Run, and ended in an error.
        Failed => "failed",
        /// May or may not have been run.
        Unknown => "unknown",
        /// The caller disconnected.
        Cancelled => "cancelled",
    }
);

label_value!(
    /// Outcome of one attempt at an upstream.
    AttemptOutcome {
        /// The whole answer was delivered.
        Answered => "answered",
        /// Refused before it was run.
        NotRun => "not_run",
        /// The answer was cut short or invalid.
        Failed => "failed",
        /// The deadline passed.
        TimedOut => "timed_out",
        /// Abandoned because another attempt answered or the caller disconnected.
        Cancelled => "cancelled",
    }
);

label_value!(
    /// Kind of a call to the key-value service.
    StoreCall {
        /// Reads keys.
        Range => "range",
        /// Compares and writes in a transaction.
        Txn => "txn",
        /// Creates a lease.
        LeaseGrant => "lease_grant",
        /// Renews a lease.
        LeaseKeepAlive => "lease_keep_alive",
        /// Revokes a lease.
        LeaseRevoke => "lease_revoke",
        /// Watches for changes.
        Watch => "watch",
    }
);

label_value!(
    /// Outcome of a call to the key-value service.
    StoreOutcome {
        /// Answered.
        Ok => "ok",
        /// Could not be sent.
        NotSent => "not_sent",
        /// Not answered; may have taken effect.
        Unknown => "unknown",
        /// Refused without effect.
        Refused => "refused",
    }
);

label_value!(
    /// Direction of traffic between daemons.
    Direction {
        /// Sent to peers.
        Sent => "sent",
        /// Received from peers.
        Received => "received",
    }
);

label_value!(
    /// State of another daemon as seen by this one.
    MemberState {
        /// Responds.
        Alive => "alive",
        /// Has not responded for a while.
        Suspect => "suspect",
        /// Announced that it is shutting down.
        Leaving => "leaving",
        /// Considered to be gone.
        Dead => "dead",
    }
);

label_value!(
    /// Priority of a request.
    PriorityLabel {
        /// A person is waiting for the answer.
        Interactive => "interactive",
        /// Runs with the capacity that interactive requests leave.
        Batch => "batch",
    }
);

/// Labels of the counter of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the offer or service, or [`crate::metrics::OTHER_OFFER`].
    pub offer: String,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Labels of the histograms of an offer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OfferLabels {
    /// Name of the offer or service, or [`crate::metrics::OTHER_OFFER`].
    pub offer: String,
}

/// Labels of the counter of attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Labels of the counter of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Error code; always a constant of the program, never a caller's text.
    pub code: &'static str,
}

/// Labels of the counter of calls to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// Kind of the call.
    pub call: StoreCall,
    /// Outcome of the call.
    pub outcome: StoreOutcome,
}

/// Labels of the counter of bytes between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabels {
    /// Direction of the bytes.
    pub direction: Direction,
}

/// Labels of the gauge of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemberLabels {
    /// State of the counted daemons.
    pub state: MemberState,
}

/// Labels of the gauge of requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PriorityLabels {
    /// Priority of the counted requests.
    pub priority: PriorityLabel,
}

/// Labels of the fill ratio of queues and tables.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabels {
    /// Name of the queue or table; always a constant of the program.
    pub queue: &'static str,
}
