//! Updates that another program sent or a link damaged.

use std::sync::Arc;

use poison::{
    Content, ContentEvent, ContentUpdate, ContentUpdates, PoisonPolicy, Suspects, UpstreamInstance,
};
use proptest::prelude::*;
use types::prelude::*;

/// Most contents that a daemon keeps, see `suspects.rs`.
const MAX_SUSPECTS: usize = 1_024;

fn event() -> impl Strategy<Value = ContentEvent> {
    let crash = (
        0..400_u32,
        any::<Option<u64>>(),
        any::<bool>(),
        any::<u32>(),
    );
    prop_oneof![
        4 => crash.prop_map(|(n, started_at, had_started, ran_ms)| ContentEvent::Crashed {
            upstream: UpstreamInstance {
                id: UpstreamId::new(&format!("u{n}")).expect("a name"),
                started_at: started_at.map(WallTime),
            },
            customer: Some(Arc::from("alice")),
            had_started,
            ran_ms,
        }),
        1 => Just(ContentEvent::Answered),
        1 => Just(ContentEvent::Trial),
        1 => Just(ContentEvent::Lifted),
    ]
}

fn updates() -> impl Strategy<Value = ContentUpdates> {
    let update = (any::<u32>(), event(), any::<u32>()).prop_map(|(n, event, age_ms)| {
        let target = format!("/{}", n % 3_000);
        let content = Content::of("alice", "host", "POST", &target, b"body");
        ContentUpdate {
            content,
            event,
            age_ms,
        }
    });
    prop::collection::vec(update, 0..300).prop_map(ContentUpdates)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Damaged updates ended the daemon.
    #[test]
    fn any_bytes_are_bounded_updates_or_none(
        updates in updates(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        let mut bytes = updates.encode().expect("updates").to_vec();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Ok(updates) = ContentUpdates::decode(&bytes) {
            prop_assert!(updates.0.len() <= 256);
        }
    }

    /// A peer that tells of any crashes filled the daemon's tables, or ended it.
    #[test]
    fn any_updates_leave_bounded_tables(
        messages in prop::collection::vec((updates(), any::<u32>()), 0..20),
    ) {
        let mut suspects = Suspects::new(PoisonPolicy::default(), "d1");
        suspects.set_fleet(3, 12);
        let mut now = Time::ZERO;
        for (updates, pause_ms) in messages {
            now = now + Span::from_millis(u64::from(pause_ms % 5_000));
            suspects.merge_updates(now, updates);
            suspects.take_updates(now);
            prop_assert!(suspects.len() <= MAX_SUSPECTS);
            suspects.expire(now);
        }
    }
}
