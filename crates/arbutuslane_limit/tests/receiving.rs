//! Which request body is refused when the memory for bodies is used up.

use arbutuslane_limit::receiving::{BodyId, Receiving};

/// Guards against a crowd of equal bodies that keeps out a shorter one, or lets all of them give
/// way at once.
#[test]
fn choose_equal_bodies() {
    let mut receiving = Receiving::default();
    let crowd: Vec<BodyId> = (0..10).map(|_| receiving.begin()).collect();
    for id in &crowd {
        receiving.record(*id, 300_000);
    }
    let short = receiving.begin();
    assert_eq!(receiving.choose(short, 200_000), Some(crowd[0]));
    assert!(receiving.gives_way(crowd[0]) && !receiving.gives_way(crowd[1]));
    receiving.end(crowd[0]);
    assert_eq!(receiving.choose(short, 200_000), Some(crowd[1]));
    assert_eq!(receiving.choose(crowd[5], 300_000), None);
}
