//! Which members vote on a key and which may become its owner. Every sidecar derives both from the member list alone,
//! so all of them agree without exchanging messages.

use crate::{LeaseKey, Member};

/// Well-distributed hash of a key and a member (the SplitMix64 finaliser; Steele et al. 2014).
fn hash(key: LeaseKey, member: Member, salt: u64) -> u64 {
    let mut x = key ^ (u64::from(member) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// All members in an order that depends on the key and the salt (rendezvous hashing).
fn ranked(key: LeaseKey, members: usize, salt: u64) -> Vec<Member> {
    let mut all: Vec<Member> = (0..members.min(usize::from(Member::MAX)) as Member).collect();
    all.sort_by_key(|member| (hash(key, *member, salt), *member));
    all
}

/// The voters on a key: an odd number, so that two halves can't block each other.
pub fn voters_for(key: LeaseKey, members: usize, voters: usize) -> Vec<Member> {
    let most = voters.min(members).max(1);
    let odd = if most.is_multiple_of(2) {
        most - 1
    } else {
        most
    };
    let mut chosen = ranked(key, members, 0);
    chosen.truncate(odd);
    chosen
}

/// The order in which members become candidates for a key.
pub fn candidate_order(key: LeaseKey, members: usize) -> Vec<Member> {
    ranked(key, members, 0x5bd1_e995)
}
