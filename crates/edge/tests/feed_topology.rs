//! Tests of which VMs watch the store, and which VMs the others ask.

use std::collections::BTreeSet;

use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::presence::VmEntry;
use heatherknot_types::prelude::*;

fn vm(name: &str, domain: &str, region: &str, store_rtt: Option<u64>) -> VmEntry {
    VmEntry {
        name: name.into(),
        domain: domain.into(),
        region: region.into(),
        requests: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:2".parse().expect("an address"),
        incarnation: Incarnation(1),
        link_mbps: 100,
        cpu_permille: 200,
        handed: None,
        store_rtt: store_rtt.map(Millis),
    }
}

/// Two regions of two domains with three VMs each; the store is near the north.
fn vms() -> Vec<VmEntry> {
    let domains = [
        ("n1", "north", 9),
        ("n2", "north", 11),
        ("s1", "south", 118),
        ("s2", "south", 121),
    ];
    let of = |(domain, region, rtt): (&str, &str, u64)| {
        let make = |i| vm(&format!("{domain}-{i}"), domain, region, Some(rtt + i));
        (0..3).map(make).collect::<Vec<_>>()
    };
    domains.into_iter().flat_map(of).collect()
}

fn watchers(vms: &[VmEntry]) -> Vec<&VmEntry> {
    let topology = FeedTopology::new(vms);
    vms.iter()
        .filter(|vm| topology.is_watcher(&vm.name))
        .collect()
}

#[test]
fn one_vm_of_each_domain_near_the_store_watches_it() {
    let vms = vms();

    let watchers = watchers(&vms);

    let domains: Vec<&str> = watchers.iter().map(|vm| vm.domain.as_str()).collect();
    assert_eq!(domains, ["n1", "n2"]);
}

#[test]
fn every_domain_watches_the_store_while_response_times_are_unknown() {
    let mut vms = vms();
    vms.iter_mut().for_each(|vm| vm.store_rtt = None);

    assert_eq!(watchers(&vms).len(), 4);
}

#[test]
fn vms_ask_their_own_domain_or_a_reader_of_the_store() {
    let vms = vms();
    let topology = FeedTopology::new(&vms);
    let watchers: BTreeSet<VmName> = watchers(&vms).iter().map(|vm| vm.name.clone()).collect();

    for vm in &vms {
        let first = topology.sources(&vm.name, &vm.domain).first().cloned();
        let first = first.expect("another VM watches the store");
        let of = vms.iter().find(|vm| vm.name == first).expect("it is known");
        let is_in_domain = of.domain == vm.domain;
        assert!(
            is_in_domain || watchers.contains(&first),
            "{} asks {first}",
            vm.name
        );
        assert!(!topology.sources(&vm.name, &vm.domain).contains(&vm.name));
    }
}

/// If the region next to the store loses power, the remaining VMs must not wait for each other:
/// those of the next region take over once the entries of the first are gone.
#[test]
fn the_next_region_watches_the_store_once_the_nearest_is_gone() {
    let mut vms = vms();
    vms.retain(|vm| vm.region != "north".into());

    let watchers = watchers(&vms);

    assert_eq!(watchers.len(), 2);
    assert!(watchers.iter().all(|vm| vm.region == "south".into()));
}

/// A domain's head that is cut off from the store still answers. The other VMs of the domain need
/// an alternative to ask, but not in another region: a full copy for each of them would saturate
/// the link between regions.
#[test]
fn vms_have_a_second_source_in_their_own_domain() {
    let vms = vms();
    let topology = FeedTopology::new(&vms);

    for vm in vms
        .iter()
        .filter(|vm| !topology.is_head(&vm.name, &vm.domain))
    {
        let sources = topology.sources(&vm.name, &vm.domain);
        assert!(topology.is_head(&sources[0], &vm.domain));
        assert!(sources.len() > 1, "{}: {sources:?}", vm.name);
        let next = vms
            .iter()
            .find(|vm| vm.name == sources[1])
            .expect("it is known");
        let is_watcher = topology.is_watcher(&sources[1]);
        assert!(
            is_watcher || next.domain == vm.domain,
            "{}: {sources:?}",
            vm.name
        );
    }
}

#[test]
fn the_vm_with_the_widest_link_is_the_head_of_its_domain() {
    let mut vms = vms();
    for wide in ["n1-0", "n1-1", "n1-2"] {
        let widen = |vm: &mut VmEntry| vm.link_mbps = if vm.name == wide.into() { 200 } else { 10 };
        vms.iter_mut().for_each(widen);

        let topology = FeedTopology::new(&vms);

        assert!(topology.is_head(&wide.into(), &"n1".into()));
    }
}

#[test]
fn the_head_deletes_its_domains_entries_and_a_reader_those_of_a_lost_domain() {
    let mut vms = vms();
    vms.retain(|vm| vm.domain.as_str() != "s2");
    let topology = FeedTopology::new(&vms);
    let deleters = |domain: &str| {
        let domain = domain.into();
        let deleting = vms
            .iter()
            .filter(|vm| topology.deletes_entries_of(&vm.name, &domain));
        deleting.map(|vm| vm.domain.clone()).collect::<Vec<_>>()
    };
    assert_eq!(deleters("s1"), ["s1".into()]);
    let deleters_of_lost = deleters("s2");
    assert_eq!(deleters_of_lost.len(), 1, "exactly one VM");
    assert!(
        deleters_of_lost[0].as_str().starts_with('n'),
        "it watches the store"
    );
}

/// When all VMs restart in place, each must recognize its own entry and write nothing: three
/// hundred simultaneous writes would delay the reads of VMs that are about to serve again.
#[test]
fn an_entry_of_an_earlier_run_is_up_to_date_unless_an_address_differs() {
    let before = vm("n1-1", "n1", "north", Some(9));
    let mut after = vm("n1-1", "n1", "north", None);
    after.incarnation = Incarnation(7);
    assert!(before.advertises_same(&after));

    after.requests = "127.0.0.1:9".parse().expect("an address");
    assert!(!before.advertises_same(&after));
}

/// Guards against a head that sends the first copy of all keys to every VM of a large domain after a
/// restart of all VMs.
#[test]
fn no_vm_sends_the_first_copy_to_more_than_a_few_others() {
    const VMS_PER_DOMAIN: usize = 250;
    let vms: Vec<VmEntry> = (0..4)
        .flat_map(|domain| {
            (0..VMS_PER_DOMAIN).map(move |n| {
                let wide = if n < 20 { 200 } else { 20 };
                VmEntry {
                    link_mbps: wide,
                    ..vm(
                        &format!("d{domain}-{n}"),
                        &format!("d{domain}"),
                        "north",
                        None,
                    )
                }
            })
        })
        .collect();
    let topology = FeedTopology::new(&vms);

    let mut asked: std::collections::BTreeMap<VmName, usize> = Default::default();
    for vm in &vms {
        let sources = topology.first_copy_sources(&vm.name, &vm.domain);
        assert!(!sources.contains(&vm.name));
        *asked.entry(sources[0].clone()).or_default() += 1;
    }

    let limit = 3 * (VMS_PER_DOMAIN as f64).sqrt() as usize;
    let most = asked.values().max().expect("VMs ask others");
    assert!(
        *most <= limit,
        "a VM is asked by {most} others, {limit} allowed"
    );
    let is_wide = |name: &VmName| vms.iter().any(|vm| vm.name == *name && vm.link_mbps == 200);
    assert!(asked.keys().all(is_wide), "{asked:?}");
}
