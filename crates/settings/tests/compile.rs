//! Compilation of the two example layouts, with the values that their services inherit.

use heatherknot_settings::Tree;
use heatherknot_test_support::layouts;
use heatherknot_types::prelude::*;

// Services must get the values of their account and the quota of their branch.
#[test]
fn port_louis_compiles_with_inherited_values() {
    let document = layouts::port_louis(layouts::unused_addresses());

    let plan = Tree::from_document(document).unwrap().compile(Revision(7));

    let gallery = &plan.services["utilities/port-louis:gallery"];
    assert_eq!(plan.revision, Revision(7));
    assert_eq!(gallery.upstreams.len(), 16);
    assert_eq!(gallery.deadline, Millis(2000));
    assert_eq!(gallery.latency_weight_permille, 800);
    assert_eq!(gallery.lookup_ttl, Millis(2000));
    assert_eq!(gallery.queue_len, 64);
    assert_eq!(
        plan.services["utilities/port-louis:studio"].class,
        Class::Bulk
    );
    assert_eq!(plan.places.len(), 6);
    assert_eq!(plan.links.len(), 6);
    assert_eq!(
        plan.accounts["utilities/port-louis"].guaranteed_permille,
        500
    );
}

// Values set by a service must take precedence over inherited ones.
#[test]
fn enlace_compiles_with_inherited_values() {
    let document = layouts::enlace(layouts::unused_addresses());

    let plan = Tree::from_document(document).unwrap().compile(Revision(1));

    let expediente = &plan.services["training/enlace:expediente"];
    assert_eq!(
        plan.services["training/enlace:catalogo"].upstreams.len(),
        14
    );
    assert_eq!(expediente.at_most_once, ["POST /signoffs"]);
    assert_eq!(expediente.latency_weight_permille, 200);
    assert_eq!(plan.domains["limon-2"].region.as_str(), "limon");
}

// A daemon without settings must start with an empty plan.
#[test]
fn empty_tree_compiles_to_empty_plan() {
    let plan = Tree::empty().compile(Revision::NONE);

    assert_eq!(plan, Default::default());
}
