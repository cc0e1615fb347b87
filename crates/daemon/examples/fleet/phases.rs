//! The phases of one fleet's run.

use std::time::{Duration, Instant};

use heatherknot_test_support::platform::Down;
use heatherknot_types::prelude::*;

use crate::deployment::{Deployment, domain_name};
use crate::figures::Row;
use crate::fleet::{Fleet, names};
use crate::options::Options;

/// Changes in the phase of changes.
const CHANGES: usize = 5;
/// Within which a change has to be in force everywhere; a later one is counted as missing.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);
/// Daemons started together while the first fleet comes up.
const START_BATCH: usize = 16;

/// Runs one fleet through all phases.
///
/// # Errors
///
/// Says what could not be started or read.
pub fn measure(opts: &Options, size: usize) -> Result<Vec<Row>, String> {
    let mut fleet = Fleet::new()?;
    let mut deployment = Deployment::start(fleet.platform.address(), opts.domains, opts.services)?;
    let mut rows = Vec::new();
    rows.push(start(&mut fleet, opts, size)?);
    rows.push(rest(&mut fleet, opts, size)?);
    let (row, newest) = changes(&mut fleet, &mut deployment, opts, size)?;
    rows.push(row);
    let lost = lose_domain(&mut fleet, opts, size, &mut rows)?;
    rows.push(return_with_store_down(
        &mut fleet, opts, size, &lost, newest,
    )?);
    let mut warnings: Vec<_> = fleet.warnings.iter().collect();
    warnings.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (text, count) in warnings.into_iter().take(3) {
        let text: String = text.chars().take(150).collect();
        eprintln!("fleet of {size}: {count} times: {text}");
    }
    Ok(rows)
}

fn start(fleet: &mut Fleet, opts: &Options, size: usize) -> Result<Row, String> {
    let begun = Instant::now();
    let all = names(size, opts.domains);
    // The first one alone, since the others are told of those that run before them.
    let (first, others) = all.split_at(1);
    fleet.start(first)?;
    for batch in others.chunks(START_BATCH) {
        fleet.start(batch)?;
    }
    let before = fleet.sample()?;
    fleet.run_for(opts.settle);
    let after = fleet.sample()?;
    let mut row = Row::between("start", size, &before, &after);
    row.seconds = begun.elapsed().as_secs_f64();
    Ok(row)
}

fn rest(fleet: &mut Fleet, opts: &Options, size: usize) -> Result<Row, String> {
    let before = fleet.sample()?;
    fleet.run_for(opts.span);
    Ok(Row::between("rest", size, &before, &fleet.sample()?))
}

fn changes(
    fleet: &mut Fleet,
    deployment: &mut Deployment,
    opts: &Options,
    size: usize,
) -> Result<(Row, Revision), String> {
    let before = fleet.sample()?;
    let begun = Instant::now();
    let mut took = Vec::new();
    let mut missing = 0;
    let mut newest = Revision::NONE;
    for number in 0..CHANGES {
        newest = deployment.change(number)?;
        let accepted = Instant::now();
        let in_force = fleet.until_in_force(newest, fleet.vms(), accepted, IN_FORCE_LIMIT);
        missing += size - in_force.len();
        took.extend(in_force);
    }
    fleet.run_for(opts.span.saturating_sub(begun.elapsed()));
    let mut row = Row::between("changes", size, &before, &fleet.sample()?);
    row.in_force(&took, missing);
    Ok((row, newest))
}

fn lose_domain(
    fleet: &mut Fleet,
    opts: &Options,
    size: usize,
    rows: &mut Vec<Row>,
) -> Result<Vec<(VmName, DomainName)>, String> {
    let lost = fleet.lose(&domain_name(0));
    let before = fleet.sample()?;
    fleet.run_for(opts.span);
    rows.push(Row::between("domain lost", size, &before, &fleet.sample()?));
    Ok(lost)
}

/// The lost VMs come back together while the store is down, and have to get their settings
/// from peers.
fn return_with_store_down(
    fleet: &mut Fleet,
    opts: &Options,
    size: usize,
    lost: &[(VmName, DomainName)],
    newest: Revision,
) -> Result<Row, String> {
    fleet
        .platform
        .faults(|faults| faults.down = Some(Down::Closes));
    let before = fleet.sample()?;
    let begun = Instant::now();
    fleet.start(lost)?;
    let vms: Vec<VmName> = lost.iter().map(|(vm, _)| vm.clone()).collect();
    let took = fleet.until_in_force(newest, vms, begun, opts.span);
    fleet.run_for(opts.span.saturating_sub(begun.elapsed()));
    let mut row = Row::between("back, store down", size, &before, &fleet.sample()?);
    row.in_force(&took, lost.len() - took.len());
    fleet.platform.faults(|faults| faults.down = None);
    Ok(row)
}
