//! Cost of one choice.

use balance::{Candidate, choose};
use criterion::{BenchmarkId, Criterion, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for count in [4_usize, 90, 12_000] {
        let near = (0..count).step_by(4).collect::<Vec<_>>();
        let loads = (0..count).map(|i| (i % 9) as f64).collect::<Vec<_>>();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let candidate = |i: usize| Candidate {
                    own: (i % 3) as u32,
                    used_at: Time(i as u64),
                    others: loads[i],
                    slots: 6,
                    is_full: false,
                    is_cold: false,
                };
                choose(count, &near, 0.7, candidate, &mut rng)
            });
        });
    }
    group.finish();
}

mod group {
    #![allow(missing_docs, reason = "the macro's function has no place for one")]

    criterion::criterion_group!(benches, super::bench);
}

criterion_main!(group::benches);
