//! Admission control for plain services that are offered more than they can serve.
//!
//! Nothing in this crate uses a socket, clock or thread; the time and random numbers are arguments.
//! [`Overload`] holds what one daemon counts, decides on requests and makes the daemon's [`Report`];
//! [`PeerReports`] keeps the reports of the other daemons. All daemons work out the same limit on
//! the fleet's sends and the same probabilities, since they do so from the same sums.

mod averages;
mod flow;
mod limit;
mod overload;
mod peer_reports;
mod policy;
mod report;
mod service;
mod shares;
mod sums;

pub use flow::{Flow, FlowKey};
pub use overload::{Change, Decision, Overload, Refusal, Sends, ServiceStatus, retry_after};
pub use peer_reports::{DomainReports, FleetView, PeerReports, REPORT_LIFETIME};
pub use policy::OverloadPolicy;
pub use report::{FlowReport, MAX_REPORT_BYTES, Report, ReportError, ServiceReport, service_hash};
pub use shares::{FlowLoad, admission_probabilities};
