//! Tests of the admission of single requests.

mod common;

use common::*;
use heatherknot_steering::{RefusalReason, Tuning, Verdict};
use heatherknot_types::prelude::*;

/// Guards against admission above the cap of a place.
#[test]
fn admits_no_more_than_the_cap_in_any_window() {
    let mut plan = plan();
    plan.services.remove(CATALOG);
    let mut vm = vm("n1", &plan, Tuning::default());
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tally = Tally::default();
    tick_through(&mut vm, Millis(0), Millis(2_000));

    for at in 2_000..3_000 {
        let verdict = vm.admit(&arrival(GALLERY), &mut rng, Millis(at));
        tally.count(&verdict);
        if let Verdict::Run { ticket, .. } = verdict {
            vm.finish(
                ticket,
                heatherknot_steering::upstream::RequestOutcome::Good,
                Millis(at),
            );
        }
    }

    assert_eq!(100, tally.run);
    assert_eq!(0, tally.relay);
}

/// Guards against a request for an unknown service that is admitted or refused for another reason.
#[test]
fn refuses_an_unknown_service() {
    let mut vm = vm("n1", &plan(), Tuning::default());
    let mut rng = fastrand::Rng::with_seed(1);

    let verdict = vm.admit(&arrival("pl:absent"), &mut rng, Millis(2_000));

    let Verdict::Refuse { reason, .. } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(RefusalReason::UnknownService, reason);
}
