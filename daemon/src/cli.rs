//! Command-line arguments of the daemon.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use argh::FromArgs;

/// Entry daemon of the buckthorncross router.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// A command of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Serves with the settings of a file.
    Run(Run),
    /// Serves a sample catalogue on one machine, with no set-up.
    Dev(Dev),
    /// Serves on the users' platform.
    Platform(Platform),
    /// Checks a configuration of the users' platform.
    Check(Check),
}

/// Serves with the settings of a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// settings file, in YAML
    #[argh(positional)]
    pub settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Serves a sample catalogue from stand-ins in this process, with no set-up.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub struct Dev {
    /// address for callers (default 127.0.0.1:7080)
    #[argh(option, default = "([127, 0, 0, 1], 7080).into()")]
    pub callers: SocketAddr,
    /// address for operators (default 127.0.0.1:7081)
    #[argh(option, default = "([127, 0, 0, 1], 7081).into()")]
    pub operators: SocketAddr,
    /// sample catalogue: kochi or clasach (default kochi)
    #[argh(option, default = "Sample::Kochi")]
    pub sample: Sample,
}

/// Serves on the users' platform, with the settings file that BUCKTHORNCROSS_NODE_FILE names.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Platform {
    /// YAML file that overrides entries of the policy (default: no overrides)
    #[argh(option)]
    pub policy: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
    /// name of the fleet, the same on all its daemons; needed when they reach the store by
    /// different addresses (default: the store's address)
    #[argh(option)]
    pub fleet: Option<String>,
    /// address at which other daemons reach this one, if a proxy or address translation lies in
    /// between (default: the listening address)
    #[argh(option)]
    pub advertise: Option<SocketAddr>,
    /// address that connections to upstreams leave from, on a host that has several (default:
    /// chosen by the kernel)
    #[argh(option)]
    pub source: Option<IpAddr>,
    /// log filter such as info,traffic=warn (default info)
    #[argh(option, default = "telemetry::logs::DEFAULT_FILTER.to_owned()")]
    pub log: String,
}

/// Checks a configuration of the users' platform before it is sent. Exit code: 0 without errors and
/// warnings, 1 with some, 2 if the file can't be read or is not JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// configuration, in JSON; - for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// configuration in force, to compare with; - for standard input
    #[argh(option)]
    pub in_force: Option<PathBuf>,
    /// settings file of a daemon, whose retry budget attempts are compared with
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// number of upstreams of a service, as SERVICE=NUMBER; may be repeated
    #[argh(option)]
    pub upstreams: Vec<UpstreamCount>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Moves a `-` that stands for standard input behind the options, after `--`. `argh` would take it
/// for an option.
pub fn with_stdin_last<'a>(words: &[&'a str]) -> Vec<&'a str> {
    let takes_value = |word| ["--in-force", "--settings", "--upstreams"].contains(&word);
    let is_file = |place: usize| words[place] == "-" && !takes_value(words[place - 1]);
    let stdin = (1..words.len()).find(|place| words[0] == "check" && is_file(*place));
    let mut ordered = words.to_vec();
    if let Some(place) = stdin.filter(|_| !words.contains(&"--")) {
        ordered.remove(place);
        ordered.extend(["--", "-"]);
    }
    ordered
}

/// The number of upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCount {
    /// Name of the service.
    pub service: String,
    /// Number of its upstreams.
    pub count: u32,
}

impl std::str::FromStr for UpstreamCount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, count) = text.rsplit_once('=').unwrap_or((text, ""));
        let count = count.parse().map_err(|_| {
            format!("{text:?} is not SERVICE=NUMBER with the number of a service's upstreams")
        })?;
        Ok(Self {
            service: service.to_owned(),
            count,
        })
    }
}

/// The sample catalogues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Offers for price lists and notices.
    Kochi,
    /// Offers for cover teachers and bookings.
    Clasach,
}

impl std::str::FromStr for Sample {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "kochi" => Ok(Self::Kochi),
            "clasach" => Ok(Self::Clasach),
            _ => Err(format!("{text:?} is not a sample; kochi and clasach are")),
        }
    }
}
