#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Which slots go from one target to another so that all are equally busy.
//
// Load patterns: 40 % of the requests on 60 to 200 neighbouring keys, which
// change within seconds; targets of different speed; a target that joins. A
// busy run of keys saturates its one owner while the others idle: its callers
// wait or are refused although there is room.
//
// A target's use is the arrivals at its slots divided by what it can do. The
// most used gives to the least used until all are within `band` of the mean.
// Single slots that are hot go one by one, so that neighbours of a hot slot can
// be spread, also to a target that has no room below the mean, as long as it
// stays below the giver: with 49 targets near the mean none has room for a slot
// that takes a fifth of a target. Even load is cut off at the edge of a run, so
// that targets keep few runs. A slot that has just moved stays for
// `rest_rounds`.
//
// Moves are cheap here, as the old holder hands its state over, and a hot spot
// is dear, so it moves early: the institute's moves of all keys cost 0.3 % of a
// day's worth, one saturated target of seven a seventh of it.
//
// Pure: decides from what it is given. Kin: KeyAssigner carries it out.
class KeyBalancer {
 public:
  struct Parameters {
    // Above the mean use by more than this factor a target gives keys away.
    double band = 1.15;
    // Below this use a target needs no relief: its callers hardly wait, and
    // moves by the noise of few requests would go on for ever. (Quiet day: all
    // keys moved 4 times with 0.35, 1.3 times before stuck givers were passed
    // over.)
    double busy_use = 0.55;
    // Unless somebody has less than this part of the mean: one that joined, or
    // is faster than the others (three deviations at 33 requests a second). It
    // gets work from any that has more than the mean.
    double empty_share = 0.7;
    // Below this use not even then.
    double idle_use = 0.05;
    std::size_t max_moves = 16;
    std::uint32_t rest_rounds = 8;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct Target {
    std::string address;
    // Requests that it can do in a second.
    double capacity = 1;
    // It may be given keys.
    bool may_receive = true;

    friend auto operator<=>(const Target&, const Target&) = default;
  };

  struct Move {
    SlotRange range;
    std::string from;
    std::string to;

    friend auto operator<=>(const Move&, const Move&) = default;
  };

  explicit KeyBalancer(const Parameters& parameters);

  // `arrivals`: requests a second for each slot. `table`: as it will be once
  // the moves under way are done.
  std::vector<Move> Plan(const KeyTable& table,
                         const std::vector<float>& arrivals,
                         const std::vector<Target>& targets);

 private:
  struct Load {
    Target target;
    double arrivals = 0;
    double use() const { return arrivals / target.capacity; }
  };

  std::vector<Load> Measure(const KeyTable& table,
                            const std::vector<float>& arrivals,
                            const std::vector<Target>& targets) const;
  // Slots of `from`: one with `hot` to `most` arrivals, or else about `amount`
  // of even load. Empty (first after last) when there are none.
  SlotRange Choose(const KeyTable& table,
                   const std::vector<float>& arrivals,
                   const std::string& from,
                   double amount,
                   double hot,
                   double most) const;
  bool Rests(std::uint32_t slot) const;

  const Parameters m_parameters;
  std::uint32_t m_round = 0;
  // By slot: the round in which it moved last.
  std::vector<std::uint32_t> m_moved;
};

}  // namespace citrongrade
