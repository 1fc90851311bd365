package org.arbutusrelay.core.routing

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.RequestHomes
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RouteTarget
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Hosts of three regions that hold different documents, with random requests, failures and changes of homes. */
class RequestHomesRandomTest {
    private enum class Seen {
        RUN,
        FORWARD,
        REFUSED_BY_RECEIVER,
        SENT_AGAIN,
        MOVED_IN_QUEUE,
        QUEUED_AT_RECEIVER,
        CACHE_COPY,
    }

    /** Guards against a send by the homes of a document that is no longer in force on the host that sends. */
    @Test
    fun `no request runs in or is forwarded to a region outside the homes in force at its send`() {
        val seen = HashSet<Seen>()
        for (seed in 1L..SEEDS) {
            println("seed $seed")
            RandomRun(seed, seen).run()
        }
        assertTrue(seen.containsAll(Seen.entries), "happened: $seen")
    }

    private class Host(val region: String) {
        val scheduler = DefaultRequestScheduler(
            { null },
            settings = SchedulerSettings(maxQueued = 20),
            serverSelector = FirstByteServerSelector(),
            regionSelector = FirstByteRegionSelector(),
        )
        var document = 0
        val queued = HashMap<RequestId, Request>()
    }

    private class Request(val homes: RequestHomes, var profile: RequestProfile, val ownRoute: Route, val first: Send?) {
        var sends = 0
    }

    private class Send(val host: Host, val request: Request, val attempt: PlacedAttempt)

    private class RandomRun(private val seed: Long, private val seen: MutableSet<Seen>) {
        private val random = Random(seed)
        private val documents = arrayListOf<Route?>(route(emptyList()))
        private val hosts = REGIONS.map(::Host)
        private val running = ArrayList<Send>()
        private val forwarded = ArrayList<Send>()
        private var nowMs = 0L
        private var requests = 0L

        fun run() {
            hosts.forEach { host ->
                val servers = List(2) { SchedulerFixture.server("${host.region}-$it", capacity = 2) }
                    .map { it.copy(region = host.region, availabilityZone = "${host.region}-a") }
                val others = (REGIONS - host.region).associateWith { SchedulerFixture.remote(it) }
                host.scheduler.updateTable(
                    RoutingTable(host.region, "${host.region}-a", servers, others, sentAwayPermille = 1_000),
                )
            }
            repeat(STEPS) { step(hosts.random(random)) }
        }

        private fun step(host: Host) {
            nowMs += random.nextLong(MAX_STEP_MS)
            when (random.nextInt(10)) {
                in 0..3 -> documents[host.document]?.let { submit(host, newRequest(host, it, null)) }
                4, 5 -> if (running.isNotEmpty()) end(running.removeAt(random.nextInt(running.size)))
                6, 7 -> if (forwarded.isNotEmpty()) receive(forwarded.removeAt(random.nextInt(forwarded.size)))
                8 -> placeQueued(host, host.scheduler.poll(nowMs))
                else -> changeDocument(host)
            }
        }

        private fun newRequest(host: Host, route: Route, first: Send?): Request {
            val homes = RequestHomes(host.region, first != null) { (REGIONS - host.region).shuffled(random) }
            val deadlineMs = first?.request?.profile?.deadlineMs ?: (nowMs + random.nextLong(100, 3_000))
            val profile = SchedulerFixture.request(++requests, deadlineMs, regions = homes.regionsFor(route))
                .copy(targetMs = 300, submittedAtMs = nowMs, isForwarded = first != null)
            return Request(homes, withPrompt(profile), route, first)
        }

        private fun withPrompt(profile: RequestProfile): RequestProfile {
            val shared = listOf("part ${random.nextInt(SHARED_PARTS)}" to SHARED_TOKENS)
            val hashes = PrefixHashes.ofParts(shared + ("own ${profile.id}" to OWN_TOKENS))
            return profile.copy(
                prefixHashes = hashes,
                promptTokens = SHARED_TOKENS + OWN_TOKENS,
                sharedTokens = SHARED_TOKENS,
                affinityHash = hashes[PrefixHashes.countOfParts(shared) - 1],
                canImportCache = true,
            )
        }

        private fun submit(host: Host, request: Request) {
            val regions = request.homes.regionsFor(routeOf(host, request))
            request.profile = request.profile.copy(allowedRegions = regions)
            place(host, request, host.scheduler.submit(request.profile, nowMs))
        }

        /** Returns the route in the document of [host], or that of the request's own if it has been dropped. */
        private fun routeOf(host: Host, request: Request) = documents[host.document] ?: request.ownRoute

        private fun place(host: Host, request: Request, placement: Placement) {
            when (placement) {
                is Placement.Run -> {
                    check(host, request, host.region)
                    checkCacheSource(host, placement.attempt.cacheSourceAddress)
                    record(Seen.RUN)
                    running += Send(host, request, placement.attempt)
                }

                is Placement.Forward -> {
                    check(host, request, placement.region)
                    assertTrue(request.first == null, "seed $seed: forwarded again")
                    record(Seen.FORWARD)
                    forwarded += Send(host, request, placement.attempt)
                }

                is Placement.Queued -> {
                    if (request.first != null) record(Seen.QUEUED_AT_RECEIVER)
                    host.queued[request.profile.id] = request
                }

                is Placement.Refused -> request.first?.let { onRefused(it, placement.error.kind) }
            }
        }

        private fun check(host: Host, request: Request, region: String) {
            val route = routeOf(host, request)
            assertTrue(route.allowsRegion(region), "seed $seed, $nowMs ms: ${request.profile.id} in $region, $route")
        }

        /** Prompts are copied between backend servers of the region that may run the request. */
        private fun checkCacheSource(host: Host, address: String) {
            if (address.isEmpty()) return
            record(Seen.CACHE_COPY)
            assertTrue(address.startsWith("http://${host.region}-"), "seed $seed: $address for ${host.region}")
        }

        private fun record(kind: Seen) {
            seen += kind
        }

        private fun receive(send: Send) {
            val receiver = hosts.first { it.region == send.attempt.region }
            val route = documents[receiver.document] ?: return onRefused(send, ErrorKind.UNKNOWN_SERVICE)
            submit(receiver, newRequest(receiver, route, send))
        }

        private fun onRefused(send: Send, kind: ErrorKind) {
            if (kind == ErrorKind.FORWARD_REFUSED) {
                record(Seen.REFUSED_BY_RECEIVER)
                send.request.homes.close(send.attempt.region)
            }
            finish(send, AttemptResult.REFUSED)
        }

        private fun end(send: Send) {
            val result = AttemptResult.entries.random(random)
            finish(send, result)
            send.request.first?.let { finish(it, result) }
        }

        private fun finish(send: Send, result: AttemptResult) {
            placeQueued(send.host, send.host.scheduler.complete(send.attempt, result, nowMs))
            val request = send.request
            if (result == AttemptResult.COMPLETE || request.first != null || ++request.sends >= MAX_SENDS) return
            record(Seen.SENT_AGAIN)
            val tried = request.profile.triedBackendServers + send.attempt.backendServer
            request.profile = request.profile.copy(triedBackendServers = tried)
            submit(send.host, request)
        }

        private fun placeQueued(host: Host, placements: List<QueuedPlacement>) {
            for (queued in placements) {
                host.queued.remove(queued.profile.id)?.let { place(host, it, queued.placement) }
            }
        }

        /** Publishes a document, or puts one that was published in force on [host]. */
        private fun changeDocument(host: Host) {
            if (random.nextInt(3) == 0) {
                documents += if (random.nextInt(6) == 0) null else route(REGIONS.filter { random.nextBoolean() })
            }
            host.document = random.nextInt(host.document, documents.size)
            for (request in host.queued.values.toList()) {
                if (!request.homes.mustMove(request.profile.allowedRegions, routeOf(host, request))) continue
                record(Seen.MOVED_IN_QUEUE)
                host.scheduler.cancel(request.profile)
                host.queued.remove(request.profile.id)
                submit(host, request)
            }
        }
    }

    private companion object {
        val REGIONS = listOf("hue", "danang", "north")
        const val SEEDS = 40L
        const val STEPS = 1_500
        const val MAX_STEP_MS = 20L
        const val MAX_SENDS = 3
        const val SHARED_PARTS = 4
        const val SHARED_TOKENS = 2_000
        const val OWN_TOKENS = 100

        fun route(homes: List<String>) = Route(
            "r", "a.example", "/", RouteKind.IDEMPOTENT, 3_000, 300, 0, listOf(RouteTarget("drafting", 1)), 3, false,
            homes,
        )
    }
}
