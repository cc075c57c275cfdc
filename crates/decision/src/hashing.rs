//! Numbers that look random and are the same on each call and in each sidecar that computes them.

/// One step of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The rank of `item` in `owner`'s own order, by rendezvous hashing (Thaler and Ravishankar, 1998): the order
/// of the others does not change when items come and go.
pub(crate) fn rendezvous_rank(owner: u64, item: u64) -> u64 {
    splitmix64(item ^ splitmix64(owner + 1))
}

/// A number from 0 to 1 that is always the same for the same owner and item.
pub(crate) fn hash_fraction(owner: u64, item: u64) -> f64 {
    unit_interval(rendezvous_rank(owner, item))
}

/// Maps the upper 53 bits of a number to the range from 0 (included) to 1 (not included).
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
