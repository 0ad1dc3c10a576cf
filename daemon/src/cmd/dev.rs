//! `dev`: runs a daemon on one machine, with stand-ins for every service that it needs.

use std::net::SocketAddr;

use eyre::Context;
use node::Node;
use settings::Settings;
use standins::engine::EngineConfig;
use standins::platform::{Platform, PlatformConfig};
use types::prelude::*;

use super::serve;
use crate::cli::{Dev, Sample};

const KOCHI: &str = include_str!("../../../examples/kochi.yaml");
const CLASACH: &str = include_str!("../../../examples/clasach.yaml");
const CUSTOMER_KEY: &str = "dev-customer";
const OPERATOR_TOKEN: &str = "dev-operator";

/// Starts the stand-ins and one daemon in this process and serves until a signal.
pub fn run(options: &Dev) -> eyre::Result<()> {
    let (file, text) = match options.sample {
        Sample::Kochi => ("kochi.yaml", KOCHI),
        Sample::Clasach => ("clasach.yaml", CLASACH),
    };
    let entries = catalogue::file::parse(file, text)?;
    let platform = Platform::start(&platform_config(), &entries)
        .wrap_err("the stand-in services cannot start")?;
    let settings = settings(options, &platform)?;
    serve::start_logs(&settings)?;
    platform.seed(&settings.cluster, &"dev".parse()?, Clock::new().wall());
    let node = Node::start(settings).wrap_err("the daemon cannot start")?;
    print_instructions(options, &entries);
    serve::until_signal(node)
}

/// Configures stand-in engines that generate tokens at about a person's reading speed.
fn platform_config() -> PlatformConfig {
    let engine = EngineConfig {
        token_time: Span::from_millis(15),
        token_time_per_running: Span::from_micros(500),
        prefill_per_1000: Span::from_millis(60),
        answer_tokens: 48,
        ..EngineConfig::default()
    };
    PlatformConfig {
        engine,
        ..PlatformConfig::default()
    }
}

fn settings(options: &Dev, platform: &Platform) -> eyre::Result<Settings> {
    let yaml = format!(
        "cluster: dev\n\
         daemon: entry-1\n\
         failure_domain: kaloor\n\
         region: here\n\
         callers: {{listen: '{}'}}\n\
         operators: {{listen: '{}', tokens: {{dev: {OPERATOR_TOKEN}}}}}\n\
         peers: {{listen: '127.0.0.1:0', keys: [{{id: dev, secret: not-secret-in-dev}}]}}\n\
         store: {{endpoints: ['{}']}}\n\
         platform: {{rater: '{}', weights: '{}', hosts: '{}'}}\n\
         shutdown: {{notice: 0s}}\n",
        options.callers,
        options.operators,
        platform.store.address(),
        platform.rater.address(),
        platform.weights.address(),
        platform.hosts.address(),
    );
    Ok(settings::from_yaml("dev", &yaml)?)
}

fn print_instructions(options: &Dev, entries: &standins::platform::Entries) {
    let is_offer = |name: &&EntryName| name.as_str().starts_with("offers/");
    let offer = entries
        .keys()
        .find(is_offer)
        .map_or("", |name| &name.as_str()["offers/".len()..]);
    println!("{}", example_request(options.callers, offer));
    println!(
        "Operators: buckthorncross --server http://{} status",
        options.operators
    );
    println!("Ctrl-C ends it.");
}

fn example_request(callers: SocketAddr, offer: &str) -> String {
    format!(
        "Try it:\n\n  curl -N http://{callers}/v1/chat/completions \\\n    \
         -H 'Authorization: Bearer {CUSTOMER_KEY}' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"model\": \"{offer}\", \"stream\": true, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"What may a salon charge?\"}}]}}'\n"
    )
}
