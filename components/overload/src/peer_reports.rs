//! The reports of the other daemons, as long as they are valid.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::report::Report;

/// How long a daemon's report counts after it arrived: in a large fleet gossip takes some rounds.
pub const REPORT_LIFETIME: Span = Span::from_millis(1_400);

#[derive(Debug)]
struct Known {
    until: Time,
    domain: FailureDomain,
    report: Arc<Report>,
}

/// What is known of the daemons of one failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainReports {
    /// Daemons present, including this one if it is here.
    pub present: usize,
    /// Whether this daemon is one of them.
    pub is_own: bool,
    /// Reports of the others that are known.
    pub reports: Vec<Arc<Report>>,
}

/// What is known of the fleet, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The failure domains in which daemons are present.
    pub domains: Vec<DomainReports>,
}

impl FleetView {
    /// Number of daemons present.
    #[must_use]
    pub fn present(&self) -> usize {
        self.domains.iter().map(|domain| domain.present).sum()
    }

    /// Number of daemons whose reports are known, without this one.
    #[must_use]
    pub fn known(&self) -> usize {
        let known = self.domains.iter().map(|domain| domain.reports.len());
        known.sum()
    }

    /// Drops the reports, once they are too old. The daemons still count as present.
    pub fn drop_reports(&mut self) {
        for domain in &mut self.domains {
            domain.reports.clear();
        }
    }

    pub(crate) fn reports(&self) -> impl Iterator<Item = &Report> {
        let reports = self.domains.iter().flat_map(|domain| &domain.reports);
        reports.map(|report| &**report)
    }
}

/// The latest report of each other daemon.
#[derive(Debug, Default)]
pub struct PeerReports {
    by_daemon: BTreeMap<DaemonId, Known>,
}

impl PeerReports {
    /// Replaces a daemon's report.
    pub fn update(&mut self, now: Time, daemon: DaemonId, domain: FailureDomain, report: Report) {
        let known = Known {
            until: now + REPORT_LIFETIME,
            domain,
            report: Arc::new(report),
        };
        self.by_daemon.insert(daemon, known);
    }

    /// Returns the reports that are valid. `present` is the number of daemons in each failure
    /// domain; `own` is the domain of this daemon, which is one of them.
    pub fn view(
        &mut self,
        now: Time,
        present: &BTreeMap<FailureDomain, usize>,
        own: &FailureDomain,
    ) -> FleetView {
        self.by_daemon.retain(|_, known| now < known.until);
        let domains = present.iter().map(|(domain, present)| {
            let known = self.by_daemon.values();
            let reports = known.filter(|known| known.domain == *domain);
            let reports = reports.map(|known| Arc::clone(&known.report));
            let reports = reports.collect::<Vec<_>>();
            let is_own = domain == own;
            DomainReports {
                present: (*present).max(reports.len() + usize::from(is_own)),
                is_own,
                reports,
            }
        });
        FleetView {
            domains: domains.collect(),
        }
    }
}
