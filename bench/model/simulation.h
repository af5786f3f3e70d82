/**
 * @file simulation.h
 * Discrete-event simulation of callers, gateways and inference engines.
 *
 * Routing uses the gateway's own decision code (balance/decision.h).  A
 * scenario sets the load, the bursts and the faults.  "Worth" is the value of
 * an answer: a class has a worth for an answer on time and a lower one for a
 * late answer.
 */
#ifndef MODEL_SIMULATION_H
#define MODEL_SIMULATION_H

#include "engine.h"

#define SIM_CLASSES_MAX 8
#define SIM_BURSTS_MAX 16
#define SIM_FAULTS_MAX 16
#define SIM_NAME_BYTES 32

/** Log-normal distribution of a size. */
struct sim_size
{
  double mean;
  double sigma; /**< Standard deviation of the logarithm. */
  double max;   /**< Larger draws are cut to this; 0: no limit. */
};

/** A class of requests. */
struct sim_class
{
  char name[SIM_NAME_BYTES];
  double rate;          /**< Mean requests per second outside bursts. */
  int64_t objective_ms; /**< Latest first event that is on time. */
  int64_t gap_ms;       /**< Longest gap between events that is on time. */
  int64_t deadline_ms;  /**< From arrival until the caller gives up. */
  int priority;         /**< Priority of the route; 0: most urgent. */
  double worth;         /**< Value of an answer on time of mean size. */
  double late_worth;    /**< Value of a late answer of mean size. */
  uint32_t attempts;    /**< Most runners reached per attempt of the caller. */
  bool resumable;       /**< Another runner may continue a broken answer. */
  uint32_t prefix_count; /**< Number of different prompt prefixes. */
  double skew; /**< Zipf exponent: a prefix of rank r has weight r^-skew. */
  struct sim_size shared; /**< Tokens of a prefix. */
  struct sim_size own;    /**< Prompt tokens after the prefix. */
  struct sim_size events; /**< Events of an answer. */
  uint32_t tokens_per_event;
};

/** A period in which the request rate is multiplied by FACTOR. */
struct sim_burst
{
  double at_ms;
  double duration_ms;
  double factor;
  int class_index; /**< Class that bursts; -1: all classes. */
};

enum sim_fault_kind
{
  SIM_CRASH = 0, /**< Runners lose requests and cache, then recover. */
  SIM_SLOW,      /**< Runners are FACTOR times slower. */
  SIM_REPLACE /**< Runners are replaced in turn by ones with a cold cache. */
};

struct sim_fault
{
  enum sim_fault_kind kind;
  double at_ms;
  double duration_ms;
  double share;  /**< Share of the runners affected, 0 to 1. */
  double factor; /**< SIM_SLOW: slowdown; SIM_REPLACE: runners replaced at a
                    time. */
  double gap_ms; /**< SIM_REPLACE: time between two such groups. */
};

/** How a runner is selected for a request. */
enum sim_policy
{
  SIM_RANDOM = 0,
  SIM_LEAST_LOADED, /**< Fewest requests in flight from this gateway; ties at
                       random. */
  SIM_LOCAL, /**< Each gateway by its own load and gossiped loads of peers. */
  SIM_COORDINATED /**< A coordinator for all gateways, which report first
                     events and ends. */
};

struct sim_scenario
{
  char name[SIM_NAME_BYTES];
  double length_ms;
  uint32_t gateways;
  uint32_t runners;
  uint32_t zones;
  double gossip_ms; /**< Interval at which a gateway learns its peers' load. */
  double hop_ms;    /**< One-way delay between two instances. */
  double report_ms; /**< Delay of reports to the coordinator. */
  double urgent_share; /**< Share of requests from workspaces with priority 0;
                          the others have 1. */
  struct engine_traits traits;
  struct sim_class classes[SIM_CLASSES_MAX];
  size_t class_count;
  struct sim_burst bursts[SIM_BURSTS_MAX];
  size_t burst_count;
  struct sim_fault faults[SIM_FAULTS_MAX];
  size_t fault_count;
};

struct sim_class_result
{
  uint32_t offered;
  uint32_t on_time;
  uint32_t late; /**< Whole, but first event or a gap too late. */
  uint32_t refused;
  uint32_t failed;
  double worth; /**< Worth earned over worth offered, 0 to 1. */
  double first_ms_median;
  double first_ms_p99;
};

/**
 * Result of a simulation.  A class starves in a window of 5 s when at least
 * ten of its requests, and over a twelfth, get no whole answer while a
 * request of a less urgent class whose mean prompt is over 1.5 times as long
 * gets its first event.  Windows near a crash or slowdown don't count.
 */
struct sim_result
{
  struct sim_class_result classes[SIM_CLASSES_MAX];
  double worth;              /**< Worth earned over worth offered, 0 to 1. */
  double unserved;           /**< Share of requests without a whole answer. */
  double worst_window_worth; /**< Mean over the two worst windows of 2 s. */
  uint64_t prefill_tokens;   /**< Prompt tokens processed by all runners. */
  uint64_t fetched_tokens;   /**< Prefix tokens fetched from other runners. */
  uint64_t resumed;    /**< Times that a broken answer went on at a runner. */
  uint64_t joined;     /**< Of these, at one of another software version. */
  double peak_to_mean; /**< Highest prefill tokens of a runner over mean. */
  uint32_t starved;    /**< Unserved in each class's worst such window. */
};

/** Simulates SCENARIO.  The result depends only on the arguments. */
void sim_run (const struct sim_scenario *scenario, enum sim_policy policy,
              uint64_t seed, struct sim_result *result);

#endif
