//! Re-exports of the types that most modules need.

pub use crate::amount::{ByteSize, Cost, Rate, Share, Tokens};
pub use crate::id::{
    ClassName, ClusterName, CustomerId, DaemonId, EditId, EntryName, FailureDomain, Incarnation,
    OperatorName, Region, RequestId, Revision, SessionId, UpstreamId,
};
pub use crate::run::{Priority, RunState};
pub use crate::time::{BootInstant, Clock, Span, Time, WallTime};
pub use crate::version::{ModelName, VersionId, VersionName};
