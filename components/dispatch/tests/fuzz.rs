//! Messages of peers that a link damaged, and lists of upstreams that another program wrote.

use std::collections::HashMap;
use std::sync::Arc;

use dispatch::{
    BrittleAdvertisement, Permit, Requirements, RolloutMessage, UpstreamOutcome, Upstreams,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

fn upstream() -> impl Strategy<Value = Arc<Upstream>> {
    let slots = prop_oneof![0..3_u32, any::<u32>()];
    let start = prop_oneof![Just(None), (0..3_u64).prop_map(Some), any::<Option<u64>>()];
    let place = (0..6_u32, 0..3_u16, 0..3_u8, any::<bool>());
    (place, slots, start, any::<u64>()).prop_map(
        |((id, port, service, is_ready), slots, start, warm_up)| {
            Arc::new(Upstream {
                id: UpstreamId::new(&format!("u{id}")).expect("a name"),
                started_at: start.map(WallTime),
                service: Arc::from(format!("service{service}")),
                address: ([127, 0, 0, 1], port).into(),
                failure_domain: FailureDomain::new("east").expect("a name"),
                version: Arc::from("v1"),
                slots,
                state: match is_ready {
                    true => UpstreamState::Ready,
                    false => UpstreamState::Draining,
                },
                warm_up_remaining: Span(warm_up),
            })
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// A message on a roll-out that a link damaged ended the daemon.
    #[test]
    fn any_bytes_are_a_rollout_message_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = RolloutMessage::decode(&bytes);
    }

    /// Requests went to an upstream that the newest list doesn't contain, that drains, or that
    /// belongs to another service; or entries of former runs were kept for ever.
    #[test]
    fn only_listed_upstreams_of_the_service_are_chosen(
        lists in prop::collection::vec(prop::collection::vec(upstream(), 0..6), 1..12),
        loads in prop::collection::vec((any::<u32>(), any::<f64>(), any::<u32>()), 0..4),
        max_rejections in any::<f32>(),
    ) {
        let mut upstreams = Upstreams::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let near = FailureDomain::new("east").expect("a name");
        for (step, list) in lists.iter().enumerate() {
            let now = Time::ZERO + Span::from_millis(100 * step as u64);
            // As the store does, keeps one entry of each id.
            let by_id = list.iter().map(|spec| (spec.id.clone(), Arc::clone(spec)));
            let listed = by_id.collect::<HashMap<_, _>>();
            let specs = listed.values().cloned().collect::<Vec<_>>();
            upstreams.configure(now, &specs);
            let loads = loads.iter().map(|(key, backlog, count)| (*key, (*backlog, *count)));
            upstreams.set_remote_loads(&loads.collect());
            let ad = BrittleAdvertisement { service: 1, max_rejections, age_ms: 5 };
            upstreams.merge_brittleness(now, &ad);
            for service in 0..3 {
                let service = Arc::from(format!("service{service}"));
                let requirements = Requirements {
                    service: &service,
                    model: None,
                    parts: &[],
                    prompt_tokens: 0,
                    permit: &Permit::Any,
                    isolated: false,
                    exclude: &[],
                    local_domain: &near,
                };
                let Ok(choice) = upstreams.choose(now, &requirements, &mut rng) else { continue };
                let spec = Arc::clone(upstreams.spec(choice.index).expect("it was chosen"));
                prop_assert!(specs.contains(&spec), "{:?} is not listed", spec);
                prop_assert_eq!(&spec.service, &service);
                prop_assert_eq!(spec.state, UpstreamState::Ready);
                let ticket = upstreams.record_start(now, choice.index, &choice.load, &[]);
                upstreams.record_end(now, choice.index, ticket, UpstreamOutcome::Good);
            }
        }
        upstreams.configure(Time::ZERO + Span::from_secs(100), &[]);
        prop_assert_eq!(upstreams.own_loads(Time::ZERO).len(), 0);
    }
}
