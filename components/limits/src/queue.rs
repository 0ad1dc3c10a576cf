//! Bounded queue that is fair between customers.
//!
//! Implements start-time fair queueing: each customer has a flow of requests, and a virtual time
//! advances with the work done. The next request is taken from the flow that has received the
//! least service for its weight, so a customer with thousands of waiting requests delays the first
//! request of another by only one.

use std::collections::{BTreeMap, VecDeque};

use types::prelude::*;

use crate::ask::{AdmissionRequest, Ticket};

/// Maximum number of waiting requests per customer.
pub(crate) const MAX_FLOW_LEN: usize = 256;
/// Maximum number of waiting requests in one queue.
pub(crate) const MAX_QUEUE_LEN: usize = 1_024;
/// Maximum number of flows in one queue.
const MAX_FLOWS: usize = 1_024;

/// A waiting request.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) ask: AdmissionRequest,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    requests: VecDeque<QueuedRequest>,
    weight: f64,
    finish_tag: f64,
}

/// Requests that wait for slots of one lane.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    flows: BTreeMap<CustomerId, Flow>,
    virtual_time: f64,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn flow_len(&self, customer: &CustomerId) -> usize {
        self.flows
            .get(customer)
            .map_or(0, |flow| flow.requests.len())
    }

    /// Sum of the weights of all customers with waiting requests and of one more.
    pub(crate) fn total_weight_with(&self, customer: &CustomerId, weight: f64) -> f64 {
        let others = self.flows.iter();
        let others = others.filter(|(id, flow)| *id != customer && !flow.requests.is_empty());
        weight + others.map(|(_, flow)| flow.weight).sum::<f64>()
    }

    /// Whether one more request of a customer fits, possibly in place of another customer's last
    /// one.
    pub(crate) fn has_room(&self, customer: &CustomerId) -> bool {
        let own = self.flow_len(customer);
        let known = self.flows.contains_key(customer);
        own < MAX_FLOW_LEN
            && (known || self.flows.len() < MAX_FLOWS)
            && (self.len < MAX_QUEUE_LEN
                || self.longest_flow().is_some_and(|(_, len)| len > own + 1))
    }

    /// Adds a request. If the queue is full, the last request of the longest flow is evicted and
    /// returned, so that a customer that fills the queue cannot keep others out.
    pub(crate) fn push(&mut self, waiting: QueuedRequest, weight: f64) -> Option<QueuedRequest> {
        let evicted = match self.len >= MAX_QUEUE_LEN {
            true => self.evict(),
            false => None,
        };
        let flow = self.flows.entry(waiting.ask.customer.clone()).or_default();
        flow.weight = weight.max(f64::MIN_POSITIVE);
        flow.requests.push_back(waiting);
        self.len += 1;
        evicted
    }

    /// Puts a preempted request before all others of its customer. Nothing is evicted: there are
    /// no more such requests than there were slots.
    pub(crate) fn push_front(&mut self, waiting: QueuedRequest, weight: f64) {
        let flow = self.flows.entry(waiting.ask.customer.clone()).or_default();
        flow.weight = weight.max(f64::MIN_POSITIVE);
        flow.requests.push_front(waiting);
        self.len += 1;
    }

    fn longest_flow(&self) -> Option<(&CustomerId, usize)> {
        let flows = self.flows.iter();
        let lens = flows.map(|(id, flow)| (id, flow.requests.len()));
        lens.max_by_key(|(_, len)| *len)
    }

    fn evict(&mut self) -> Option<QueuedRequest> {
        let id = self.longest_flow()?.0.clone();
        let waiting = self.flows.get_mut(&id)?.requests.pop_back()?;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes the request next in fair order among those that may start.
    pub(crate) fn pop(
        &mut self,
        mut may_start: impl FnMut(&AdmissionRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let mut best: Option<(f64, CustomerId)> = None;
        for (id, flow) in &self.flows {
            let Some(head) = flow.requests.front() else {
                continue;
            };
            let start = flow.finish_tag.max(self.virtual_time);
            let is_better = best.as_ref().is_none_or(|(least, _)| start < *least);
            if is_better && may_start(&head.ask) {
                best = Some((start, id.clone()));
            }
        }
        let (start, id) = best?;
        self.take_from(start, &id)
    }

    fn take_from(&mut self, start: f64, id: &CustomerId) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(id)?;
        let waiting = flow.requests.pop_front()?;
        let cost = waiting.ask.tokens.0.max(1) as f64;
        flow.finish_tag = start + cost / flow.weight;
        self.virtual_time = start;
        self.len -= 1;
        self.drop_idle_flows();
        Some(waiting)
    }

    /// Drops empty flows that have received no more than their share of service.
    fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        let idle = self.len == 0;
        self.flows
            .retain(|_, flow| !flow.requests.is_empty() || (!idle && flow.finish_tag > now));
    }

    /// Removes a request.
    pub(crate) fn remove(
        &mut self,
        customer: &CustomerId,
        ticket: Ticket,
    ) -> Option<QueuedRequest> {
        let requests = &mut self.flows.get_mut(customer)?.requests;
        let index = requests
            .iter()
            .position(|waiting| waiting.ticket == ticket)?;
        let waiting = requests.remove(index);
        self.len -= 1;
        waiting
    }

    /// Removes all requests whose deadline has passed.
    pub(crate) fn remove_expired(
        &mut self,
        is_expired: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            for waiting in std::mem::take(&mut flow.requests) {
                if is_expired(&waiting.ask) {
                    expired.push(waiting);
                } else {
                    flow.requests.push_back(waiting);
                }
            }
        }
        self.len -= expired.len();
        expired
    }
}
