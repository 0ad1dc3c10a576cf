//! Limits that a peer advertises wrongly, again, late or out of order.

use proptest::prelude::*;
use ratelimit::{Admission, Advertisement, InstanceKey, RateLimits};
use types::prelude::*;

fn ad() -> impl Strategy<Value = Advertisement> {
    let rate = prop_oneof![
        Just(None),
        any::<f32>().prop_map(Some),
        (0.01_f32..100.0).prop_map(Some)
    ];
    let version = prop_oneof![Just(u32::MAX), 0..5_u32, any::<u32>()];
    (0..5_u32, version, rate, any::<u16>()).prop_map(|(instance, version, rate, age_ms)| {
        Advertisement {
            instance: InstanceKey(instance),
            version,
            rate,
            age_ms,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// A limit that is not a number, not positive or endless let nothing or everything through, or
    /// ended the daemon; one with the highest version could not be lifted by any answer.
    #[test]
    fn any_limits_are_finite_and_end(ads in prop::collection::vec((ad(), 0..2_000_u64), 0..60)) {
        let mut limits = RateLimits::default();
        let mut now = Time::ZERO + Span::from_secs(100);
        for (ad, pause_ms) in ads {
            now = now + Span::from_millis(pause_ms);
            limits.merge(now, &ad);
            limits.take(now, ad.instance);
            limits.lend(now, ad.instance);
            if let Some(rate) = limits.rate(ad.instance) {
                prop_assert!(rate.0.is_finite() && rate.0 > 0.0);
            }
            prop_assert!(limits.len() <= 5);
        }
        now = now + Span::from_secs(200);
        limits.advertise(now);
        for instance in 0..5 {
            let admission = limits.admission(now, InstanceKey(instance));
            prop_assert_eq!(admission, Admission::Open);
        }
    }
}
