//! Measures processor time and memory of sessions.

use std::time::Instant;

use eyre::OptionExt;
use sessions::SessionKey;
use sessions::homes::{Member, homes};
use sessions::pins::{MAX_PINS, Pin, Pins};
use sessions::token::{Key, Keys, Pinned};
use types::prelude::*;

use crate::report::Report;

const ROUNDS: usize = 20_000;
/// Fleet sizes: the current one, and the one that the design must support.
const FLEETS: [usize; 2] = [9, 460];

/// Measures session tokens, home daemons and pins.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    measure_tokens(report)?;
    for fleet in FLEETS {
        measure_homes(report, fleet)?;
    }
    measure_pins(report)
}

fn time_micros(mut action: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    (0..ROUNDS).for_each(&mut action);
    started_at.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn key(n: usize) -> eyre::Result<SessionKey> {
    Ok(SessionKey {
        customer: "clasach-centre".parse()?,
        offer: "brief-writer".parse()?,
        session: format!("conversation-{n:016x}").parse()?,
    })
}

fn measure_tokens(report: &mut Report) -> eyre::Result<()> {
    let keys = Keys::new(vec![Key::new("k1", b"a secret of sufficient length")?])?;
    let customer: CustomerId = "clasach-centre".parse()?;
    let pinned = Pinned {
        session: key(1)?.session,
        offer: "brief-writer".parse()?,
        version: "brief-large@2026-11".parse()?,
        revision: Revision(27_000),
        start: WallTime(1_800_000_000_000),
    };
    let token = keys.sign(&customer, &pinned);
    let sign = time_micros(|_| drop(std::hint::black_box(keys.sign(&customer, &pinned))));
    let verify = time_micros(|_| drop(std::hint::black_box(keys.verify(&customer, &token))));
    report.note("session token", "bytes", token.len() as f64);
    report.note("session token", "us_to_sign", sign);
    report.note("session token", "us_to_verify", verify);
    report.violations += u64::from(keys.verify(&customer, &token) != Some(pinned));
    Ok(())
}

fn measure_homes(report: &mut Report, fleet: usize) -> eyre::Result<()> {
    let members = (0..fleet).map(|n| -> eyre::Result<Member> {
        Ok(Member {
            id: format!("entry-{n}").parse()?,
            domain: format!("domain-{}", n % 16).parse()?,
            run: Incarnation(1),
        })
    });
    let members = members.collect::<eyre::Result<Vec<_>>>()?;
    let keys = (0..ROUNDS).map(key).collect::<eyre::Result<Vec<_>>>()?;
    let micros = time_micros(|n| drop(std::hint::black_box(homes(keys[n].hash64(), &members))));
    report.note("homes of a name", &format!("us_at_{fleet}_daemons"), micros);
    Ok(())
}

fn measure_pins(report: &mut Report) -> eyre::Result<()> {
    let baseline = resident_bytes()?;
    let mut table = Pins::new(Span::from_secs(3600));
    let pins = (0..MAX_PINS).map(|n| -> eyre::Result<Pin> {
        Ok(Pin {
            key: key(n)?,
            version: "brief-large@2026-11".parse()?,
            revision: Revision(27_000),
            age: Span::ZERO,
            replaces: None,
        })
    });
    for pin in pins {
        table.pin(pin?, Time(1));
    }
    let bytes = (resident_bytes()? - baseline) / MAX_PINS as f64;
    report.note("pin", "resident_bytes", bytes);
    let keys = (0..ROUNDS).map(key).collect::<eyre::Result<Vec<_>>>()?;
    let micros = time_micros(|n| drop(std::hint::black_box(table.get(&keys[n], Time(2)))));
    report.note("pin", "us_to_look_up", micros);
    Ok(())
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> eyre::Result<f64> {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or_eyre("statm has one field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}
