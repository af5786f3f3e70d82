/**
 * @file gossip.h
 * Encodes and decodes the body of a GOSSIP message: the demands on shared
 * limits, strikes and members that entries report to each other.  A strike is
 * one engine or runner crash counted against a request's fingerprint.
 */
#ifndef BD_WIRE_GOSSIP_H
#define BD_WIRE_GOSSIP_H

#include "limits/limiter.h"
#include "membership/membership.h"
#include "retry/suspect.h"
#include "wire/pack.h"

#define BD_GOSSIP_DEMANDS_MAX 64
#define BD_GOSSIP_STRIKES_MAX 64
#define BD_GOSSIP_MEMBERS_MAX 8

/** The chunks of decoded members point into the decoded bytes. */
struct bd_gossip_body
{
  struct bd_limiter_demand demands[BD_GOSSIP_DEMANDS_MAX];
  size_t demand_count;
  struct bd_strike strikes[BD_GOSSIP_STRIKES_MAX];
  size_t strike_count;
  struct bd_member members[BD_GOSSIP_MEMBERS_MAX];
  size_t member_count;
};

/** Appends the encoded body to BUFFER.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_gossip_encode (const struct bd_gossip_body *body,
                      struct bd_buffer *buffer);

/** Decodes BYTES into BODY.  Returns BD_OK or BD_ERR_PROTOCOL. */
int bd_gossip_decode (struct bd_chunk bytes, struct bd_gossip_body *body);

#endif
