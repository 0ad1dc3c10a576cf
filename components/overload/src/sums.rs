//! The fleet's load on a service, from this daemon's counts and the reports of others.

use std::collections::BTreeMap;

use crate::flow::FlowKey;
use crate::peer_reports::FleetView;
use crate::report::{FlowReport, ServiceReport};
use crate::shares::FlowLoad;

/// Multiple of the other daemons' mean up to which a peer's value counts. It bounds what a false
/// report can do: among 30 known daemons, to a quarter of a sum.
const MAX_OVER_MEAN: f64 = 8.0;
/// Other daemons that it takes for their mean to bound a peer's value.
const MIN_OTHERS: usize = 4;
/// Requests by which a flow's rate moves towards what its usual rate leads to expect. Few
/// requests say little about the rate of the last second, and a flow must not be cut because one of
/// its rare requests has just come.
const PRIOR_REQUESTS: f64 = 2.0;

/// The fleet's load on a service, in requests a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sums {
    pub(crate) offered: f64,
    pub(crate) completed: f64,
    pub(crate) rejected: f64,
    /// Requests in flight.
    pub(crate) in_flight: f64,
    /// Share of the daemons present that are known.
    pub(crate) known_share: f64,
}

/// Sums one quantity over the fleet. A domain's sum is the mean of its known daemons times the
/// number present; daemons of domains of which none is known count as the mean of all.
struct Scaling {
    known: usize,
    /// Daemons present in domains of which none is known, for each known daemon.
    extra: f64,
}

impl Scaling {
    fn of(view: &FleetView) -> Self {
        let (mut known, mut hidden) = (0, 0);
        for domain in &view.domains {
            match domain.reports.len() + usize::from(domain.is_own) {
                0 => hidden += domain.present,
                some => known += some,
            }
        }
        Self {
            known,
            extra: hidden as f64 / known.max(1) as f64,
        }
    }

    /// Daemons that a known one of the domain stands for.
    fn factor(&self, present: usize, known: usize) -> f64 {
        present as f64 / known.max(1) as f64 + self.extra
    }

    /// The part of a peer's value that counts, beside the sum over all known daemons.
    fn counted(&self, value: f64, sum: f64) -> f64 {
        let others = self.known.saturating_sub(1);
        if others < MIN_OTHERS {
            return value;
        }
        let mean = (sum - value) / others as f64;
        value.min(mean * MAX_OVER_MEAN)
    }

    fn sum(
        &self,
        view: &FleetView,
        hash: u32,
        own: f64,
        value: impl Fn(&ServiceReport) -> f64,
    ) -> f64 {
        let known = view.reports().filter_map(|report| report.service(hash));
        let raw = own + known.map(&value).sum::<f64>();
        let domains = view.domains.iter().map(|domain| {
            let known = domain.reports.len() + usize::from(domain.is_own);
            let peers = domain.reports.iter().filter_map(|r| r.service(hash));
            let peers = peers.map(|report| self.counted(value(report), raw));
            let own = if domain.is_own { own } else { 0.0 };
            (own + peers.sum::<f64>()) * self.factor(domain.present, known)
        });
        domains.sum()
    }
}

/// Sums a service's load over the fleet; `own` is this daemon's part.
pub(crate) fn sum(view: &FleetView, own: &ServiceReport) -> Sums {
    let scaling = Scaling::of(view);
    let hash = own.service;
    let of = |own, value: fn(&ServiceReport) -> f64| scaling.sum(view, hash, own, value);
    Sums {
        offered: of(own.offered, |report| report.offered),
        completed: of(own.completed, |report| report.completed),
        rejected: of(own.rejected, |report| report.rejected),
        in_flight: of(own.in_flight, |report| report.in_flight),
        known_share: (scaling.known as f64 / view.present().max(1) as f64).min(1.0),
    }
}

fn no_load(flow: &FlowReport) -> FlowLoad {
    FlowLoad {
        offered: 0.0,
        usual: 0.0,
        rank: flow.rank,
    }
}

/// Total of the usual rates of a report's flows.
fn usual_of(report: &ServiceReport) -> f64 {
    report.flows.iter().map(|flow| flow.usual).sum()
}

/// Adds up the fleet's flows of a service. `into` keeps its room between calls.
pub(crate) fn sum_flows(
    view: &FleetView,
    own: &ServiceReport,
    into: &mut BTreeMap<FlowKey, FlowLoad>,
) {
    into.clear();
    // This daemon's flows have its own ranks: a false report must not make them less urgent.
    into.extend(own.flows.iter().map(|flow| (flow.key, no_load(flow))));
    let scaling = Scaling::of(view);
    let hash = own.service;
    let reports = || view.reports().filter_map(|report| report.service(hash));
    let raw = own.offered + reports().map(|report| report.offered).sum::<f64>();
    let raw_usual = usual_of(own) + reports().map(usual_of).sum::<f64>();
    for domain in &view.domains {
        let known = domain.reports.len() + usize::from(domain.is_own);
        let factor = scaling.factor(domain.present, known);
        let own = domain.is_own.then_some((own, 1.0, 1.0));
        let peers = domain.reports.iter().filter_map(|r| r.service(hash));
        let peers = peers.map(|report| {
            // A report's flows count for no more than its service does.
            let flows = report.flows.iter().map(|flow| flow.offered).sum::<f64>();
            let counted = scaling.counted(report.offered, raw);
            let share = (counted / flows.max(f64::MIN_POSITIVE)).min(1.0);
            let usual = usual_of(report);
            let counted = scaling.counted(usual, raw_usual);
            let usual_share = (counted / usual.max(f64::MIN_POSITIVE)).min(1.0);
            (report, share, usual_share)
        });
        for (report, share, usual_share) in own.into_iter().chain(peers) {
            for flow in &report.flows {
                let load = into.entry(flow.key).or_insert_with(|| no_load(flow));
                load.offered += flow.offered * share * factor;
                load.usual += flow.usual * usual_share * factor;
            }
        }
    }
    let offered = into.values().map(|flow| flow.offered).sum::<f64>();
    let usual = into.values().map(|flow| flow.usual).sum::<f64>();
    let growth = offered / usual.max(f64::MIN_POSITIVE);
    let known_share = (scaling.known as f64 / view.present().max(1) as f64).min(1.0);
    for flow in into.values_mut() {
        let expected = flow.usual * growth;
        // The requests in the second that the averages look back on.
        let requests = flow.offered.max(expected) * known_share;
        let weight = requests / (requests + PRIOR_REQUESTS);
        flow.offered = expected + (flow.offered - expected) * weight;
    }
}
