//! Arguments of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Entry daemon of the buckthorncross router.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What the daemon can do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Serves.
    Run(Run),
    /// Tries it out.
    Dev(Dev),
    /// Serves on the users' platform.
    Platform(Platform),
}

/// Serves with the settings of a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// settings, in YAML
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
    /// file that changes entries of the policy, in YAML (default: none are changed)
    #[argh(option)]
    pub policy: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
    /// name of the fleet, where its daemons reach the store by addresses of their own; the same on
    /// all of them (default: the store's address)
    #[argh(option)]
    pub fleet: Option<String>,
    /// address at which other daemons reach this one, where something stands between (default: the
    /// one it listens on)
    #[argh(option)]
    pub advertise: Option<SocketAddr>,
    /// log filter such as info,traffic=warn (default info)
    #[argh(option, default = "telemetry::logs::DEFAULT_FILTER.to_owned()")]
    pub log: String,
}

/// The sample catalogues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Price lists and notices.
    Kochi,
    /// Cover teachers and bookings.
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
