//! Information about the machine and this process from `/proc`.

use std::fs;

/// Describes the processor, the number of cores and the load average.
pub fn describe() -> String {
    let cpuinfo = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpuinfo
        .lines()
        .find_map(|line| line.strip_prefix("model name"));
    let model = model.map_or("unknown", |model| {
        model.trim_start_matches([' ', '\t', ':'])
    });
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    format!("machine: {model}, {cores} cores, load {load}")
}

/// Returns the resident memory of this process, in bytes.
pub fn rss_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Formats the median, minimum and maximum of several rounds.
pub fn format_spread(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let (low, high) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.2} ({low:.2} to {high:.2})")
}
