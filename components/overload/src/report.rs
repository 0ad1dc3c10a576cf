//! What a daemon tells others of its plain services, and its wire format.
//!
//! A report is a version byte and, for each service, the hash of its name, four rates, and its
//! flows. All numbers are little-endian and of fixed width, so that the size is known before
//! encoding. Every sequence of bytes decodes to numbers that are finite and bounded.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::flow::FlowKey;

/// Size of an encoded report at most. A heartbeat has room for 256 bytes, two of which are the
/// field's length.
pub const MAX_REPORT_BYTES: usize = 254;
/// Flows of a service that are reported one by one at most.
pub(crate) const MAX_FLOWS: usize = 24;
const VERSION: u8 = 1;
const SERVICE_BYTES: usize = 13;
const FLOW_BYTES: usize = 9;
/// Set in a service's number of flows while its reporter finds the service congested.
const CONGESTED: u8 = 0x80;
/// Wire units of one request a second.
const RATE_UNITS: f64 = 10.0;
/// Wire units of one request in flight.
const IN_FLIGHT_UNITS: f64 = 64.0;

/// Hash of a service's name.
#[must_use]
pub fn service_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// One daemon's part of a flow, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowReport {
    /// The flow; [`FlowKey::REST`] for those that are not listed.
    pub key: FlowKey,
    /// Rank of its requests.
    pub rank: u8,
    /// Requests that its callers send.
    pub offered: f64,
    /// Requests that they usually send.
    pub usual: f64,
}

impl FlowReport {
    fn size(&self) -> f64 {
        self.offered.max(self.usual)
    }
}

/// One daemon's part of a service's load. Rates are in requests a second.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests that callers send.
    pub offered: f64,
    /// Sends that upstreams answered.
    pub completed: f64,
    /// Sends that upstreams rejected for lack of capacity.
    pub rejected: f64,
    /// Requests in flight, as an average over time.
    pub in_flight: f64,
    /// Whether the daemon limits the service's requests.
    pub is_congested: bool,
    /// Its flows; empty while no daemon is known to limit the service.
    pub flows: Vec<FlowReport>,
}

/// One daemon's report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The plain services that have traffic.
    pub services: Vec<ServiceReport>,
}

/// Bytes that are not a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// They end too early, or go on too long.
    #[error("{0} bytes are no whole number of services and flows")]
    Length(usize),
    /// They are of another version.
    #[error("version {0} is not known")]
    Version(u8),
}

impl Report {
    /// Encodes the report in at most [`MAX_REPORT_BYTES`] bytes. Congested services go first, then
    /// the busiest; flows beyond the room are added up as [`FlowKey::REST`].
    ///
    /// Rates are rounded at random, so that sums over many daemons are right: most flows send less
    /// than a tenth of a request a second through each daemon.
    pub fn encode(&self, rng: &mut impl Rng) -> Vec<u8> {
        let mut services = self.services.iter().collect::<Vec<_>>();
        services.sort_by(|a, b| {
            let congested = b.is_congested.cmp(&a.is_congested);
            congested.then(b.offered.total_cmp(&a.offered))
        });
        services.truncate((MAX_REPORT_BYTES - 1) / SERVICE_BYTES);
        let mut room = (MAX_REPORT_BYTES - 1 - services.len() * SERVICE_BYTES) / FLOW_BYTES;
        let mut bytes = Vec::with_capacity(MAX_REPORT_BYTES);
        bytes.push(VERSION);
        let mut waiting = services.iter().filter(|s| !s.flows.is_empty()).count();
        for service in services {
            bytes.extend(service.service.to_le_bytes());
            push(&mut bytes, service.offered, RATE_UNITS, rng);
            push(&mut bytes, service.completed, RATE_UNITS, rng);
            push(&mut bytes, service.rejected, RATE_UNITS, rng);
            push(&mut bytes, service.in_flight, IN_FLIGHT_UNITS, rng);
            let flows = match service.flows.is_empty() {
                true => Vec::new(),
                false => largest(&service.flows, room / waiting.max(1)),
            };
            waiting = waiting.saturating_sub(usize::from(!service.flows.is_empty()));
            room -= flows.len();
            let congested = if service.is_congested { CONGESTED } else { 0 };
            bytes.push(flows.len() as u8 | congested);
            for flow in &flows {
                bytes.extend(flow.key.0.to_le_bytes());
                bytes.push(flow.rank);
                push(&mut bytes, flow.offered, RATE_UNITS, rng);
                push(&mut bytes, flow.usual, RATE_UNITS, rng);
            }
        }
        bytes
    }

    /// Decodes a report.
    ///
    /// # Errors
    /// When the bytes are no report of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let wrong_length = ReportError::Length(bytes.len());
        let (version, mut rest) = bytes.split_first().ok_or(wrong_length)?;
        if *version != VERSION {
            return Err(ReportError::Version(*version));
        }
        if bytes.len() > MAX_REPORT_BYTES {
            return Err(wrong_length);
        }
        let mut services = Vec::<ServiceReport>::new();
        while !rest.is_empty() {
            let (head, after) = rest
                .split_first_chunk::<SERVICE_BYTES>()
                .ok_or(wrong_length)?;
            let count = usize::from(head[12] & !CONGESTED);
            let (flows, after) = after
                .split_at_checked(count * FLOW_BYTES)
                .ok_or(wrong_length)?;
            rest = after;
            let service = ServiceReport {
                service: u32::from_le_bytes([head[0], head[1], head[2], head[3]]),
                offered: read(head[4], head[5], RATE_UNITS),
                completed: read(head[6], head[7], RATE_UNITS),
                rejected: read(head[8], head[9], RATE_UNITS),
                in_flight: read(head[10], head[11], IN_FLIGHT_UNITS),
                is_congested: head[12] & CONGESTED != 0,
                flows: flows
                    .as_chunks::<FLOW_BYTES>()
                    .0
                    .iter()
                    .map(|flow| FlowReport {
                        key: FlowKey(u32::from_le_bytes([flow[0], flow[1], flow[2], flow[3]])),
                        rank: flow[4],
                        offered: read(flow[5], flow[6], RATE_UNITS),
                        usual: read(flow[7], flow[8], RATE_UNITS),
                    })
                    .collect(),
            };
            // A service that is named twice would count twice.
            if services
                .iter()
                .all(|known| known.service != service.service)
            {
                services.push(service);
            }
        }
        Ok(Self { services })
    }

    /// What the report says of a service.
    #[must_use]
    pub fn service(&self, hash: u32) -> Option<&ServiceReport> {
        self.services.iter().find(|service| service.service == hash)
    }
}

/// The largest flows, at most `room`, and the sum of the rest as one of them.
fn largest(flows: &[FlowReport], room: usize) -> Vec<FlowReport> {
    let mut flows = flows.to_vec();
    flows.sort_by(|a, b| b.size().total_cmp(&a.size()));
    if flows.len() <= room.min(MAX_FLOWS) || room == 0 {
        flows.truncate(room);
        return flows;
    }
    let rest = flows.split_off(MAX_FLOWS.min(room - 1));
    let offered = rest.iter().map(|flow| flow.offered).sum::<f64>();
    let usual = rest.iter().map(|flow| flow.usual).sum::<f64>();
    // The rest has the rank of its larger part, to within one.
    let by_rank = rest.iter().map(|flow| flow.size() * f64::from(flow.rank));
    let size = rest.iter().map(FlowReport::size).sum::<f64>();
    flows.push(FlowReport {
        key: FlowKey::REST,
        rank: (by_rank.sum::<f64>() / size.max(f64::MIN_POSITIVE)).round() as u8,
        offered,
        usual,
    });
    flows
}

fn push(bytes: &mut Vec<u8>, value: f64, units: f64, rng: &mut impl Rng) {
    let rounded = (value * units + rng.random::<f64>()).floor();
    bytes.extend((rounded.clamp(0.0, f64::from(u16::MAX)) as u16).to_le_bytes());
}

fn read(low: u8, high: u8, units: f64) -> f64 {
    f64::from(u16::from_le_bytes([low, high])) / units
}
