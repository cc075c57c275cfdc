//! Deterministic pseudo-random numbers that every sidecar computes alike.

/// Performs one step of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014).
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the rank of `item` in the order of `owner`, by rendezvous hashing (Thaler and
/// Ravishankar, 1998). Adding or removing items does not change the order of the others.
pub(crate) fn rendezvous_rank(owner: u64, item: u64) -> u64 {
    splitmix64(item ^ splitmix64(owner + 1))
}

/// Returns a number from 0 to 1 that is determined by the owner and the item.
pub(crate) fn hash_fraction(owner: u64, item: u64) -> f64 {
    unit_interval(rendezvous_rank(owner, item))
}

/// Maps the upper 53 bits of a number to the range from 0 (inclusive) to 1 (exclusive).
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
