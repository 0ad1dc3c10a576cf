//! A bounded queue that is fair between customers.
//!
//! Start-time fair queueing: a flow of requests for each customer, and a virtual time that
//! moves with the work done. The next request is that of the flow that has had the least for
//! its weight, so a customer with thousands waiting delays another's first request by one.

use std::collections::{BTreeMap, VecDeque};

use types::prelude::*;

use crate::ask::{Ask, Ticket};

/// Requests waiting of one customer, at most.
pub(crate) const MAX_FLOW: usize = 256;
/// Requests waiting in one queue, at most.
pub(crate) const MAX_QUEUE: usize = 1_024;
/// Flows remembered, at most.
const MAX_FLOWS: usize = 1_024;

/// A request that waits.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) ask: Ask,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    items: VecDeque<Waiting>,
    weight: f64,
    finish: f64,
}

/// Requests waiting for one kind of slot.
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
        self.flows.get(customer).map_or(0, |flow| flow.items.len())
    }

    /// Sum of the weights of the customers that wait, and of one more.
    pub(crate) fn weight_with(&self, customer: &CustomerId, weight: f64) -> f64 {
        let others = self.flows.iter();
        let others = others.filter(|(id, flow)| *id != customer && !flow.items.is_empty());
        weight + others.map(|(_, flow)| flow.weight).sum::<f64>()
    }

    /// Whether one more of a customer fits, perhaps in place of another customer's last.
    pub(crate) fn has_room(&self, customer: &CustomerId) -> bool {
        let own = self.flow_len(customer);
        let known = self.flows.contains_key(customer);
        own < MAX_FLOW
            && (known || self.flows.len() < MAX_FLOWS)
            && (self.len < MAX_QUEUE || self.longest().is_some_and(|(_, len)| len > own + 1))
    }

    /// Adds a request. In a full queue the last request of the longest flow gives way, and
    /// is returned: a customer that fills the queue cannot keep others out.
    pub(crate) fn push(&mut self, waiting: Waiting, weight: f64) -> Option<Waiting> {
        let evicted = match self.len >= MAX_QUEUE {
            true => self.evict(),
            false => None,
        };
        let flow = self.flows.entry(waiting.ask.customer.clone()).or_default();
        flow.weight = weight.max(f64::MIN_POSITIVE);
        flow.items.push_back(waiting);
        self.len += 1;
        evicted
    }

    /// Puts a request that had begun before all others of its customer. Nothing gives way:
    /// there are no more of these than there were slots.
    pub(crate) fn push_front(&mut self, waiting: Waiting, weight: f64) {
        let flow = self.flows.entry(waiting.ask.customer.clone()).or_default();
        flow.weight = weight.max(f64::MIN_POSITIVE);
        flow.items.push_front(waiting);
        self.len += 1;
    }

    fn longest(&self) -> Option<(&CustomerId, usize)> {
        let flows = self.flows.iter();
        let lens = flows.map(|(id, flow)| (id, flow.items.len()));
        lens.max_by_key(|(_, len)| *len)
    }

    fn evict(&mut self) -> Option<Waiting> {
        let id = self.longest()?.0.clone();
        let waiting = self.flows.get_mut(&id)?.items.pop_back()?;
        self.len -= 1;
        Some(waiting)
    }

    /// Takes the fairest request that may start.
    pub(crate) fn pop(&mut self, mut may_start: impl FnMut(&Ask) -> bool) -> Option<Waiting> {
        let mut best: Option<(f64, CustomerId)> = None;
        for (id, flow) in &self.flows {
            let Some(head) = flow.items.front() else {
                continue;
            };
            let start = flow.finish.max(self.virtual_time);
            let is_better = best.as_ref().is_none_or(|(least, _)| start < *least);
            if is_better && may_start(&head.ask) {
                best = Some((start, id.clone()));
            }
        }
        let (start, id) = best?;
        self.take(start, &id)
    }

    fn take(&mut self, start: f64, id: &CustomerId) -> Option<Waiting> {
        let flow = self.flows.get_mut(id)?;
        let waiting = flow.items.pop_front()?;
        let cost = waiting.ask.tokens.0.max(1) as f64;
        flow.finish = start + cost / flow.weight;
        self.virtual_time = start;
        self.len -= 1;
        self.forget_flows();
        Some(waiting)
    }

    /// Drops empty flows that have no more than their due behind them.
    fn forget_flows(&mut self) {
        let now = self.virtual_time;
        let idle = self.len == 0;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || (!idle && flow.finish > now));
    }

    /// Takes out a request.
    pub(crate) fn remove(&mut self, customer: &CustomerId, ticket: Ticket) -> Option<Waiting> {
        let items = &mut self.flows.get_mut(customer)?.items;
        let place = items.iter().position(|waiting| waiting.ticket == ticket)?;
        let waiting = items.remove(place);
        self.len -= 1;
        waiting
    }

    /// Takes out what has no time left.
    pub(crate) fn expire(&mut self, is_late: impl Fn(&Ask) -> bool) -> Vec<Waiting> {
        let mut late = Vec::new();
        for flow in self.flows.values_mut() {
            for waiting in std::mem::take(&mut flow.items) {
                if is_late(&waiting.ask) {
                    late.push(waiting);
                } else {
                    flow.items.push_back(waiting);
                }
            }
        }
        self.len -= late.len();
        late
    }
}
