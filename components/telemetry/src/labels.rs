//! Values of labels. Each is one of a few, so that no caller can make series grow.

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
            /// Every value.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// As metrics print it.
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
    /// How a request ended for its caller.
    Outcome {
        /// Whole answer.
        Answered => "answered",
        /// Refused, not run.
        Refused => "refused",
        /// Ran, and ended in an error.
        Failed => "failed",
        /// May or may not have run.
        Unknown => "unknown",
        /// The caller went away.
        Cancelled => "cancelled",
    }
);

label_value!(
    /// How one attempt at an upstream ended.
    AttemptOutcome {
        /// Whole answer.
        Answered => "answered",
        /// Refused before it began.
        NotRun => "not_run",
        /// Cut short or wrong.
        Failed => "failed",
        /// Past its deadline.
        TimedOut => "timed_out",
        /// Given up, since another attempt answered or the caller left.
        Cancelled => "cancelled",
    }
);

label_value!(
    /// A call of the key-value service.
    StoreCall {
        /// Read.
        Range => "range",
        /// Compare and write.
        Txn => "txn",
        /// Make a lease.
        LeaseGrant => "lease_grant",
        /// Renew a lease.
        LeaseKeepAlive => "lease_keep_alive",
        /// End a lease.
        LeaseRevoke => "lease_revoke",
        /// Wait for changes.
        Watch => "watch",
    }
);

label_value!(
    /// How a call of the key-value service ended.
    StoreOutcome {
        /// Answered.
        Ok => "ok",
        /// Never sent.
        NotSent => "not_sent",
        /// No reply: may have taken effect.
        Unknown => "unknown",
        /// Refused without effect.
        Refused => "refused",
    }
);

label_value!(
    /// Way of bytes between daemons.
    Direction {
        /// To peers.
        Sent => "sent",
        /// From peers.
        Received => "received",
    }
);

label_value!(
    /// What this daemon holds of another.
    MemberState {
        /// Answers.
        Alive => "alive",
        /// Has not answered for a while.
        Suspect => "suspect",
        /// Said that it goes.
        Leaving => "leaving",
        /// Counted as gone.
        Dead => "dead",
    }
);

label_value!(
    /// Which requests go first.
    PriorityLabel {
        /// A person waits.
        Interactive => "interactive",
        /// The rest.
        Batch => "batch",
    }
);

/// Labels of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Offer or service, or [`crate::metrics::OTHER_OFFER`].
    pub offer: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// Label of an offer's figures.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OfferLabels {
    /// Offer or service, or [`crate::metrics::OTHER_OFFER`].
    pub offer: String,
}

/// Labels of attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// Labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// The error's code; from the program's text, never from a caller.
    pub code: &'static str,
}

/// Labels of calls of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// Its kind.
    pub call: StoreCall,
    /// How it ended.
    pub outcome: StoreOutcome,
}

/// Labels of bytes between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabels {
    /// To or from peers.
    pub direction: Direction,
}

/// Labels of members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemberLabels {
    /// What this daemon holds of them.
    pub state: MemberState,
}

/// Labels of requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PriorityLabels {
    /// Which go first.
    pub priority: PriorityLabel,
}

/// Labels of queues and tables.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabels {
    /// Its name; from the program's text.
    pub queue: &'static str,
}
