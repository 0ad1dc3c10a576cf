//! One daemon's counts of a service, and what it decides by.

use std::collections::BTreeMap;

use types::prelude::*;

use crate::averages::{DecayingRate, WindowRate, weight};
use crate::flow::{Flow, FlowKey};
use crate::limit::Limit;
use crate::overload::Sends;
use crate::peer_reports::FleetView;
use crate::report::{FlowReport, ServiceReport};
use crate::shares::{FlowLoad, admission_probabilities};
use crate::sums::{Sums, sum_flows};

/// Time over which rates are averaged.
const RATE_TIME: Span = Span::from_secs(1);
/// The same for the requests in flight where every daemon is known. They say earlier what to do, but
/// a sample of the daemons says less of them: with half a second, 300 daemons serve 0.76 of the
/// capacity in time, and 0.82 with a second.
const IN_FLIGHT_TIME: Span = Span::from_millis(500);
/// Time over which a flow's usual rate is averaged.
const USUAL_TIME: Span = Span::from_secs(20);
/// Time over which it is averaged while the service is limited: a burst must not become usual while
/// it lasts.
const USUAL_TIME_LIMITED: Span = Span::from_secs(200);
/// Flows without a request for so long are forgotten. A daemon may see a customer's request only
/// every half minute.
pub(crate) const FORGET_AFTER: Span = Span::from_secs(120);
/// Flows that are counted one by one; the others are counted as one.
const MAX_FLOWS: usize = 1_024;
/// Least rate, and least number of requests in flight, that count as traffic.
const MIN_TRAFFIC: f64 = 0.02;

/// One flow as this daemon counts and admits it.
#[derive(Debug)]
struct FlowState {
    rank: u8,
    offered: DecayingRate,
    /// Average of `offered` over [`USUAL_TIME`] that began at nothing.
    usual: f64,
    /// The same average of 1.
    usual_weight: f64,
    last_at: Time,
    /// Grows with each request by its probability; admitting one takes 1.
    credit: f64,
    probability: f64,
}

impl FlowState {
    fn update(&mut self, elapsed: Span, usual_time: Span) {
        self.offered.update(elapsed, RATE_TIME);
        let part = weight(elapsed, usual_time);
        self.usual += (self.offered.per_s() - self.usual) * part;
        self.usual_weight += (1.0 - self.usual_weight) * part;
    }

    /// Its usual rate. The average is divided by what its age has given it of its weight: a new flow
    /// would otherwise be starved for its first seconds.
    fn usual(&self) -> f64 {
        self.usual / self.usual_weight.max(f64::MIN_POSITIVE)
    }
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service {
    hash: u32,
    offered: DecayingRate,
    completed: DecayingRate,
    rejected: WindowRate,
    in_flight: f64,
    flows: BTreeMap<FlowKey, FlowState>,
    /// Whether a peer limits its requests.
    peers_limit: bool,
    pub(crate) limit: Option<Limit>,
    pub(crate) sums: Sums,
    pub(crate) slots: u32,
    /// Probability of a flow that is not known yet.
    pub(crate) mean_probability: f64,
    pub(crate) used_at: Time,
    loads: BTreeMap<FlowKey, FlowLoad>,
    probabilities: Vec<f64>,
}

impl Service {
    pub(crate) fn new(hash: u32) -> Self {
        Self {
            hash,
            offered: DecayingRate::default(),
            completed: DecayingRate::default(),
            rejected: WindowRate::default(),
            in_flight: 0.0,
            flows: BTreeMap::new(),
            peers_limit: false,
            limit: None,
            sums: Sums::default(),
            slots: 0,
            mean_probability: 1.0,
            used_at: Time::ZERO,
            loads: BTreeMap::new(),
            probabilities: Vec::new(),
        }
    }

    /// Counts a request and, while the service is limited, decides on it. `credit` is what a new
    /// flow starts with. Returns the probability by which it is refused.
    pub(crate) fn decide(&mut self, now: Time, flow: Flow, credit: f64) -> Result<(), f64> {
        self.used_at = now;
        self.offered.count(1);
        let is_full = self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow.key);
        let key = if is_full { FlowKey::REST } else { flow.key };
        let probability = self.mean_probability;
        let state = self.flows.entry(key).or_insert_with(|| FlowState {
            rank: flow.rank,
            offered: DecayingRate::default(),
            usual: 0.0,
            usual_weight: 0.0,
            last_at: now,
            credit,
            probability,
        });
        state.last_at = now;
        state.offered.count(1);
        if self.limit.is_none() {
            return Ok(());
        }
        state.credit += state.probability;
        if state.credit < 1.0 {
            return Err(state.probability);
        }
        state.credit -= 1.0;
        Ok(())
    }

    /// Whether upstreams have lately rejected requests of this daemon.
    pub(crate) fn sees_rejections(&self) -> bool {
        self.rejected.per_s() > MIN_TRAFFIC
    }

    /// Updates the averages by what happened in `elapsed`.
    pub(crate) fn update(&mut self, now: Time, elapsed: Span, sends: Sends, view: &FleetView) {
        self.completed.count(sends.completed);
        self.rejected.count(sends.rejected);
        self.offered.update(elapsed, RATE_TIME);
        self.completed.update(elapsed, RATE_TIME);
        self.rejected.update(now);
        let is_whole = view.known() + 1 >= view.present();
        let in_flight_time = if is_whole { IN_FLIGHT_TIME } else { RATE_TIME };
        self.in_flight += (sends.in_flight - self.in_flight) * weight(elapsed, in_flight_time);
        let usual_time = match self.limit {
            Some(_) => USUAL_TIME_LIMITED,
            None => USUAL_TIME,
        };
        for flow in self.flows.values_mut() {
            flow.update(elapsed, usual_time);
        }
        self.flows
            .retain(|_, flow| now.since(flow.last_at) < FORGET_AFTER);
        let mut reports = view.reports().filter_map(|r| r.service(self.hash));
        self.peers_limit = reports.any(|report| report.is_congested);
    }

    /// Works out the probability of each flow under the limit.
    pub(crate) fn share_out(&mut self, view: &FleetView) {
        let Some(limit) = &self.limit else {
            return;
        };
        let limit = limit.per_s();
        self.mean_probability = (limit / self.sums.offered.max(limit)).min(1.0);
        let own = self.report();
        sum_flows(view, &own, &mut self.loads);
        let keys = self.loads.keys();
        let loads = self.loads.values().copied().collect::<Vec<_>>();
        // Not every daemon's flows are known at the beginning, nor each flow of a daemon.
        let listed = loads.iter().map(|load| load.offered).sum::<f64>();
        let listed_limit = self.mean_probability * listed;
        admission_probabilities(listed_limit, &loads, &mut self.probabilities);
        for (key, probability) in keys.zip(&self.probabilities) {
            if let Some(flow) = self.flows.get_mut(key) {
                flow.probability = *probability;
            }
        }
    }

    pub(crate) fn has_traffic(&self) -> bool {
        let values = [
            self.offered.per_s(),
            self.completed.per_s(),
            self.rejected.per_s(),
            self.in_flight,
        ];
        values.iter().any(|value| *value > MIN_TRAFFIC)
    }

    /// This daemon's part of the load. Its flows are part of it while a daemon limits the service.
    pub(crate) fn report(&self) -> ServiceReport {
        let is_congested = self.limit.is_some();
        let flows = self.flows.iter().map(|(key, flow)| FlowReport {
            key: *key,
            rank: flow.rank,
            offered: flow.offered.per_s(),
            usual: flow.usual(),
        });
        ServiceReport {
            service: self.hash,
            offered: self.offered.per_s(),
            completed: self.completed.per_s(),
            rejected: self.rejected.per_s(),
            in_flight: self.in_flight,
            is_congested,
            flows: match is_congested || self.peers_limit {
                true => flows.collect(),
                false => Vec::new(),
            },
        }
    }
}
