//! Command line flags.

use gumdrop::Options;

/// Flags of the tool, before the command.
#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    pub help: bool,
    /// command to execute
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the tool.
#[derive(Debug, Options)]
pub enum Command {
    /// send the traffic of a profile to a fleet of real processes
    Run(RunFlags),
    /// run the placement decisions alone, in virtual time
    Replay(ReplayFlags),
    /// print ratios of two reports
    Compare(CompareFlags),
}

/// Flags of a run against a fleet.
#[derive(Debug, Options)]
pub struct RunFlags {
    /// print this help
    pub help: bool,
    /// base URL of the caller API of an entry host; repeat to distribute requests
    #[options(no_short, required)]
    pub url: Vec<String>,
    /// base model; adapters are named a0, a1, ... with version v1
    #[options(no_short, default = "llama")]
    pub base: String,
    /// profile: utility or cooperative
    #[options(no_short, default = "utility")]
    pub profile: String,
    /// number of adapters to request; set it if the fleet has fewer than the profile
    #[options(no_short)]
    pub adapters: Option<usize>,
    /// seconds of traffic
    #[options(no_short, default = "30")]
    pub seconds: u64,
    /// deadline of deferrable requests in seconds
    #[options(no_short)]
    pub deferrable_deadline_s: Option<u64>,
    /// tokens of each response
    #[options(no_short)]
    pub tokens: Option<u32>,
    /// factor on the arrival rates
    #[options(no_short, default = "1.0")]
    pub rate: f64,
    /// seed of the trace
    #[options(no_short, default = "1")]
    pub seed: u64,
    /// change in the middle of the time: none, reshuffle, flash-crowd or night
    #[options(no_short, default = "none")]
    pub shift: String,
}

/// Flags of a replay.
#[derive(Debug, Options)]
pub struct ReplayFlags {
    /// print this help
    pub help: bool,
    /// profile: utility or cooperative
    #[options(no_short, default = "utility")]
    pub profile: String,
    /// policy; repeat to measure several on the same traces (all)
    #[options(no_short)]
    pub policy: Vec<String>,
    /// seed of the trace; repeat to measure several (1)
    #[options(no_short)]
    pub seed: Vec<u64>,
    /// change in the middle: none, reshuffle, flash-crowd, cold-restart, permit-owner, night
    #[options(no_short, default = "none")]
    pub shift: String,
    /// factor on the arrival rates
    #[options(no_short, default = "1.0")]
    pub rate: f64,
    /// weights of load stalls and full batches instead of the profile's, as STALL,BATCH
    #[options(no_short)]
    pub weights: Option<String>,
    /// file of the JSON report (standard output)
    #[options(no_short)]
    pub out: Option<String>,
    /// file of the HTML page with plots
    #[options(no_short)]
    pub page: Option<String>,
}

/// Flags of a comparison.
#[derive(Debug, Options)]
pub struct CompareFlags {
    /// print this help
    pub help: bool,
    /// two reports, each as `FILE` or `FILE:POLICY`
    #[options(free)]
    pub reports: Vec<String>,
}
