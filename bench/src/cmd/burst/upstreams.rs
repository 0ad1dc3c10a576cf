//! The engines from the perspective of the daemons' routers.

use routing::{LoadReport, Location, Router, Target, TargetIndex, Tuning, UpstreamSpec};

/// Number of engines.
pub const ENGINES: usize = 20;
/// Number of jobs that an engine runs concurrently.
pub const SLOTS: u32 = 16;

/// Creates the short form of a load report, as attached to an answer.
pub fn load_report((running, waiting): (u32, u32)) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: SLOTS,
        loaded: None,
        leaving: false,
    }
}

/// Creates a router for each daemon; also returns the target index of the version that all engines
/// run.
pub fn routers(daemons: usize) -> (Vec<Router>, TargetIndex) {
    let location = Location {
        failure_domain: "domain".parse().expect("a name"),
        region: "region".parse().expect("a name"),
    };
    let version = Target::Version("model@1".parse().expect("a version"));
    let build = |daemon| {
        let id = format!("daemon-{daemon}").parse().expect("a name");
        let mut router = Router::new(&id, location.clone(), Tuning::default());
        let target = router.add_target(&version).expect("room for a target");
        let spec = |number: usize| UpstreamSpec {
            id: format!("worker-{number}").parse().expect("a name"),
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            location: location.clone(),
            slots: SLOTS,
            assumed_loaded: vec![target],
        };
        router.configure((0..ENGINES).map(spec).collect());
        (router, target)
    };
    let built: Vec<_> = (0..daemons).map(build).collect();
    let target = built.first().expect("a daemon").1;
    (
        built.into_iter().map(|(router, _)| router).collect(),
        target,
    )
}
