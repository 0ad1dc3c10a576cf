//! Which daemons share upstreams' rate limits, and compatibility of heartbeats between releases.

use balance::AverageLoad;
use bytes::Bytes;
use dispatch::Advertisement;
use fleet::{
    DaemonEntry, Freshness, Heartbeat, SentAt, WireClaim, shares_rate_limits, sharing_daemons,
};
use membership::{Member, MemberRecord, ReportVersion, State};
use mirror::Revision;
use ratelimit::InstanceKey;
use types::prelude::*;

fn member(state: State, state_since: Time) -> Member {
    Member {
        record: MemberRecord {
            id: DaemonId::new("d1").expect("a name"),
            stamp: ReportVersion {
                incarnation: Incarnation(1),
                refutation: 0,
            },
            state,
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("east").expect("a name"),
            region: Region::new("here").expect("a name"),
        },
        heard_at: None,
        state_since,
        deadline: Time::NEVER,
        direct_probe_at: Time::NEVER,
    }
}

#[test]
fn a_partitioned_daemon_keeps_its_share_of_rate_limits() {
    // If each side of a partition took over the other's share, they would together send twice what
    // is allowed.
    let now = Time::ZERO + Span::from_secs(1_000);
    let down = |ago: u64| member(State::Down, now - Span::from_secs(ago));
    assert!(shares_rate_limits(now, &down(0)));
    assert!(shares_rate_limits(now, &down(300)));
    assert!(!shares_rate_limits(now, &down(900)));
    let of = |state| shares_rate_limits(now, &member(state, now));
    assert!(of(State::Alive) && of(State::Suspect));
    assert!(!of(State::Left));
}

fn entries(count: usize, fleet: usize) -> impl Iterator<Item = DaemonEntry> {
    let address = ([127, 0, 0, 1], 1).into();
    let entry = DaemonEntry {
        address,
        fleet,
        keys: 0,
    };
    std::iter::repeat_n(entry, count)
}

/// A daemon that starts behind a partition would take the whole fleet's bounds for its own.
#[test]
fn daemons_that_were_never_heard_of_count_as_the_store_lists_them() {
    // Nobody else is listed.
    assert_eq!(sharing_daemons(1, entries(0, 0)), 1);
    // It starts, and knows none of the 300 daemons yet, six of which have entries.
    assert!(sharing_daemons(1, entries(6, 300)) >= 300);
    // Two halves, and three regions, that were all restarted behind the partition.
    assert_eq!(sharing_daemons(150, entries(6, 150)), 300);
    assert_eq!(
        sharing_daemons(100, entries(6, 100).chain(entries(6, 100))),
        300
    );
    // Every daemon is alone, and has an entry of its own.
    assert_eq!(sharing_daemons(1, entries(299, 1)), 300);
    // Small fleets have an entry for each daemon.
    assert_eq!(sharing_daemons(3, entries(3, 3)), 6);
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        held: Revision(300),
        watchers: Vec::new(),
        store_unreachable: Vec::new(),
        rollouts: Vec::new(),
        loads: Vec::new(),
        rate_limits: vec![Advertisement {
            instance: InstanceKey(5),
            version: 2,
            rate: Some(2.5),
            age_ms: 40,
        }],
        sent_at: Some(SentAt {
            run: Incarnation(3),
            clock_ms: 70_000,
        }),
        freshness: None,
        tunnel_port: None,
        brittle: Vec::new(),
        overload: Vec::new(),
        paces: Vec::new(),
        averages: Vec::new(),
    }
}

/// The heartbeat above as encoded by the release before rate limits.
const BEFORE: [u8; 6] = [0xac, 0x02, 0, 0, 0, 0];

#[test]
fn heartbeats_are_compatible_with_the_previous_release() {
    let old = Heartbeat::decode(&BEFORE).expect("its form");
    assert_eq!(old.held, Revision(300));
    assert!(old.rate_limits.is_empty());
    // The older release reads its own fields from the start of the message and ignores the rest.
    let new = heartbeat().encode().expect("fits");
    assert!(new.starts_with(&BEFORE));
    assert_eq!(Heartbeat::decode(&new).expect("its form"), heartbeat());
}

#[test]
fn an_unreadable_extension_does_not_invalidate_the_heartbeat() {
    let torn = |extension: &[u8]| {
        let bytes = [&BEFORE[..], extension].concat();
        Heartbeat::decode(&bytes).expect("its first form").held
    };
    assert_eq!(torn(&[9, 1, 2]), Revision(300));
    assert_eq!(torn(&[0xff; 64]), Revision(300));
    let longer = [heartbeat().encode().expect("fits").as_ref(), &[7, 7, 7]].concat();
    assert_eq!(Heartbeat::decode(&longer).expect("its form"), heartbeat());
}

#[test]
fn claims_for_one_receiver_follow_the_fields_of_earlier_releases() {
    let freshness = Freshness {
        run: Incarnation(8),
        claims: vec![WireClaim {
            held: Revision(300),
            clock_ms: 12_345,
        }],
    };
    let any = heartbeat().encode().expect("fits");
    let one = Heartbeat::encode_for(&any, &freshness).expect("fits");
    assert!(one.starts_with(&any));
    let expected = Heartbeat {
        freshness: Some(freshness),
        ..heartbeat()
    };
    assert_eq!(Heartbeat::decode(&one).expect("its form"), expected);
}

/// Guards against releases that do not read each other's heartbeats.
#[test]
fn the_report_on_overload_follows_the_brittle_services() {
    let any = heartbeat().encode().expect("fits");
    let one = Heartbeat::encode_for(&any, &Freshness::default()).expect("fits");
    let one = Heartbeat::encode_with_tunnels(one, 7).expect("fits");
    let before = Heartbeat::encode_with_brittle(one, &[]).expect("fits");
    let old = Heartbeat::decode(&before).expect("its form");
    assert!(old.overload.is_empty());
    let report = [1; overload::MAX_REPORT_BYTES];
    let new = Heartbeat::encode_with_overload(before.clone(), &report).expect("fits");
    assert!(new.starts_with(&before));
    assert!(new.len() <= before.len() + 256);
    let expected = Heartbeat {
        overload: report.to_vec(),
        ..old
    };
    assert_eq!(Heartbeat::decode(&new).expect("its form"), expected);
    // Fields of a later release are ignored.
    let longer = [new.as_ref(), &[7, 7, 7]].concat();
    assert_eq!(Heartbeat::decode(&longer).expect("its form"), expected);
}

/// A heartbeat with the averages behind all other fields.
fn with_averages(averages: &[AverageLoad]) -> Bytes {
    let any = heartbeat().encode().expect("fits");
    let one = Heartbeat::encode_for(&any, &Freshness::default()).expect("fits");
    let one = Heartbeat::encode_with_tunnels(one, 7).expect("fits");
    let one = Heartbeat::encode_with_brittle(one, &[]).expect("fits");
    let one = Heartbeat::encode_with_overload(one, &[]).expect("fits");
    Heartbeat::encode_with_averages(one, averages).expect("fits")
}

/// Averages would be lost, or read as another field, beside daemons of the release before them.
#[test]
fn average_loads_follow_behind_all_other_fields() {
    let load = AverageLoad::new(9, 1.5).expect("not zero");
    let bytes = with_averages(&[load]);
    assert_eq!(
        Heartbeat::decode(&bytes).expect("its form").averages,
        [load]
    );
    let empty = with_averages(&[]);
    let before = empty.slice(..empty.len() - 1);
    assert!(bytes.starts_with(&before));
    let read = Heartbeat::decode(&before).expect("its form");
    assert_eq!((read.averages, read.tunnel_port), (Vec::new(), Some(7)));
    let cut = bytes.slice(..bytes.len() - 1);
    let read = Heartbeat::decode(&cut).expect("its form");
    assert_eq!((read.averages, read.tunnel_port), (Vec::new(), Some(7)));
}

/// Heartbeats would grow beyond what a daemon may use for control.
#[test]
fn average_loads_take_at_most_256_bytes() {
    let loads = (0..1_000).filter_map(|n| AverageLoad::new(u32::MAX - n, 2_000.0));
    let selected = balance::select(loads.collect());
    let added = with_averages(&selected).len() - with_averages(&[]).len() + 1;
    assert!(added <= 256, "{added} bytes");
}
