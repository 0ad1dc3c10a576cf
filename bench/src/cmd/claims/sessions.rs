//! Processor time and memory of sessions.

use std::time::Instant;

use eyre::OptionExt;
use sessions::SessionKey;
use sessions::homes::{Member, homes};
use sessions::pins::{MAX_PINS, Pin, Pins};
use sessions::token::{Key, Keys, Pinned};
use types::prelude::*;

use crate::report::Report;

const ROUNDS: usize = 20_000;
/// Daemons, now and at the size that decides.
const FLEETS: [usize; 2] = [9, 460];

/// Notes what they cost.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    tokens(report)?;
    for fleet in FLEETS {
        homes_of(report, fleet)?;
    }
    pins(report)
}

fn time(mut act: impl FnMut(usize)) -> f64 {
    let began = Instant::now();
    (0..ROUNDS).for_each(&mut act);
    began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn key(n: usize) -> eyre::Result<SessionKey> {
    Ok(SessionKey {
        customer: "clasach-centre".parse()?,
        offer: "brief-writer".parse()?,
        session: format!("conversation-{n:016x}").parse()?,
    })
}

fn tokens(report: &mut Report) -> eyre::Result<()> {
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
    let sign = time(|_| drop(std::hint::black_box(keys.sign(&customer, &pinned))));
    let verify = time(|_| drop(std::hint::black_box(keys.verify(&customer, &token))));
    report.note("session token", "bytes", token.len() as f64);
    report.note("session token", "us_to_sign", sign);
    report.note("session token", "us_to_verify", verify);
    report.violations += u64::from(keys.verify(&customer, &token) != Some(pinned));
    Ok(())
}

fn homes_of(report: &mut Report, fleet: usize) -> eyre::Result<()> {
    let members = (0..fleet).map(|n| -> eyre::Result<Member> {
        Ok(Member {
            id: format!("entry-{n}").parse()?,
            domain: format!("domain-{}", n % 16).parse()?,
            run: Incarnation(1),
        })
    });
    let members = members.collect::<eyre::Result<Vec<_>>>()?;
    let keys = (0..ROUNDS).map(key).collect::<eyre::Result<Vec<_>>>()?;
    let micros = time(|n| drop(std::hint::black_box(homes(keys[n].hash64(), &members))));
    report.note("homes of a name", &format!("us_at_{fleet}_daemons"), micros);
    Ok(())
}

fn pins(report: &mut Report) -> eyre::Result<()> {
    let before = resident()?;
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
    let bytes = (resident()? - before) / MAX_PINS as f64;
    report.note("pin", "resident_bytes", bytes);
    let keys = (0..ROUNDS).map(key).collect::<eyre::Result<Vec<_>>>()?;
    let micros = time(|n| drop(std::hint::black_box(table.get(&keys[n], Time(2)))));
    report.note("pin", "us_to_look_up", micros);
    Ok(())
}

/// Resident memory of this process in bytes.
fn resident() -> eyre::Result<f64> {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or_eyre("statm has one field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}
