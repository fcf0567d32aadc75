//! Who votes on a duty, and who is to stand for it: drawn from the list of all, the same way by each.

use crate::{Duty, Member};

/// Well spread numbers from a duty and a member (the finaliser of SplitMix64, Steele and others 2014).
fn mark(duty: Duty, member: Member, salt: u64) -> u64 {
    let mut x = duty ^ (u64::from(member) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn ranked(duty: Duty, members: usize, salt: u64) -> Vec<Member> {
    let mut all: Vec<Member> = (0..members.min(usize::from(Member::MAX)) as Member).collect();
    all.sort_by_key(|member| (mark(duty, *member, salt), *member));
    all
}

/// The voters on a duty: an odd number, so that no half of them can stand against the other.
pub fn council(duty: Duty, members: usize, voters: usize) -> Vec<Member> {
    let most = voters.min(members).max(1);
    let odd = if most.is_multiple_of(2) {
        most - 1
    } else {
        most
    };
    let mut council = ranked(duty, members, 0);
    council.truncate(odd);
    council
}

/// In which order members stand for a duty.
pub fn order(duty: Duty, members: usize) -> Vec<Member> {
    ranked(duty, members, 0x5bd1_e995)
}
