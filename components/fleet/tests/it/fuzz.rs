//! Messages of peers and entries of the store that another program wrote or a link damaged.

use dispatch::BrittleAdvertisement;
use fleet::{DaemonEntry, Freshness, Heartbeat, QuarantineEntry, SentAt, sharing_daemons};
use mirror::Revision;
use proptest::prelude::*;
use ratelimit::InstanceKey;
use types::prelude::*;

/// Most daemons of a fleet that an entry may tell of.
const MAX_FLEET: usize = 100_000;

fn heartbeat() -> Vec<u8> {
    let load = dispatch::SharedLoad {
        upstream: 9,
        backlog_ms: 700,
        in_flight: 3,
    };
    let heartbeat = Heartbeat {
        held: Revision(300),
        watchers: Vec::new(),
        store_unreachable: Vec::new(),
        rollouts: Vec::new(),
        loads: vec![load; 20],
        rate_limits: vec![dispatch::Advertisement {
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
        averages: Vec::new(),
        paces: Vec::new(),
    };
    let bytes = heartbeat.encode().expect("fits");
    let bytes = Heartbeat::encode_for(&bytes, &Freshness::default()).expect("fits");
    let bytes = Heartbeat::encode_with_tunnels(bytes, 7_341).expect("fits");
    let brittle = BrittleAdvertisement {
        service: 7,
        max_rejections: 4.0,
        age_ms: 20,
    };
    let bytes = Heartbeat::encode_with_brittle(bytes, &[brittle]).expect("fits");
    bytes.to_vec()
}

/// A message with some bytes replaced and a part cut off.
fn damaged(message: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6);
    (changes, any::<prop::sample::Index>()).prop_map(move |(changes, end)| {
        let mut bytes = message.clone();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(end.index(message.len() + 1));
        bytes
    })
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..400),
        damaged(heartbeat())
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// A damaged heartbeat ended the daemon, or filled its tables.
    #[test]
    fn any_bytes_are_a_bounded_heartbeat_or_none(bytes in bytes()) {
        if let Ok(heartbeat) = Heartbeat::decode(&bytes) {
            // Each item takes a byte at least, so a length that was made up takes no memory.
            prop_assert!(heartbeat.loads.len() <= bytes.len());
            prop_assert!(heartbeat.rate_limits.len() <= bytes.len());
            prop_assert!(heartbeat.brittle.len() <= bytes.len());
        }
    }

    /// An entry that tells of more daemons than there can be would leave this one no share of any
    /// bound, and the sum of several overflowed.
    #[test]
    fn foreign_daemon_entries_leave_a_share(
        fleets in prop::collection::vec(any::<usize>(), 0..8),
        keys in any::<usize>(),
    ) {
        let entries = fleets.iter().filter_map(|fleet| {
            let text = format!("127.0.0.1:1 {fleet} {keys}");
            DaemonEntry::decode(text.as_bytes()).ok()
        });
        let entries = entries.collect::<Vec<_>>();
        for entry in &entries {
            prop_assert!(entry.fleet <= MAX_FLEET);
            let _ = entry.is_outdated(3, 4);
        }
        let sharing = sharing_daemons(3, entries.into_iter());
        prop_assert!((3..=3 + 8 * MAX_FLEET).contains(&sharing), "{}", sharing);
    }

    /// An entry of another program under a daemon's or a quarantine's key ended the daemon.
    #[test]
    fn any_bytes_are_an_entry_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = DaemonEntry::decode(&bytes);
        let _ = QuarantineEntry::decode(&bytes);
    }
}
