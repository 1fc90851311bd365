package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestValidator
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.schema.api.HostManifest
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.api.ManifestPublishResult.Decision
import org.arbutusrelay.schema.api.ManifestStatus
import org.arbutusrelay.schema.manifest.Manifest
import java.security.MessageDigest
import java.util.concurrent.CopyOnWriteArrayList

/** Parses the text of a manifest; the error contains the problem and its location. */
public typealias ManifestParser = (String) -> Either<RelayError, Manifest>

/** In-memory manifest service of a single host. */
public class LocalManifestService(
    private val hostName: String,
    private val region: String,
    private val parser: ManifestParser,
) : ManifestService {
    private class Accepted(val view: ManifestView, val text: String)

    private val accepted = MutableStateFlow<Accepted?>(null)
    private val listeners = CopyOnWriteArrayList<(ManifestView) -> Unit>()

    override val current: ManifestView? get() = accepted.value?.view

    override val text: String? get() = accepted.value?.text

    override suspend fun publish(text: String): Either<RelayError, ManifestPublishResult> {
        val manifest = parser(text).fold({ return it.left() }, { it })
        val errors = ManifestValidator.errors(manifest)
        if (errors.isNotEmpty()) {
            return RelayError(
                ErrorKind.MANIFEST_INVALID,
                errors.joinToString("; ") {
                    "${it.path}: ${it.message}"
                },
            ).left()
        }
        return accept(Accepted(ManifestView(manifest, digest(text)), text)).right()
    }

    override fun status(): ManifestStatus {
        val number = current?.number ?: 0
        return ManifestStatus(number, current?.digest.orEmpty(), listOf(HostManifest(hostName, region, number, 0)))
    }

    override suspend fun awaitNumber(number: Long, timeoutMs: Long): Boolean =
        withTimeoutOrNull(timeoutMs) { accepted.first { (it?.view?.number ?: 0) >= number } } != null

    override fun addListener(listener: (ManifestView) -> Unit) {
        listeners += listener
    }

    private fun accept(next: Accepted): ManifestPublishResult {
        while (true) {
            val previous = accepted.value
            val decision = when {
                previous == null || next.view.number > previous.view.number -> Decision.ACCEPTED
                next.view.number < previous.view.number -> Decision.STALE_NUMBER
                next.view.digest == previous.view.digest -> Decision.ACCEPTED
                else -> Decision.DIGEST_CONFLICT
            }
            if (decision == Decision.ACCEPTED && !accepted.compareAndSet(previous, next)) continue
            if (decision == Decision.ACCEPTED) listeners.forEach { it(next.view) }
            val inForce = accepted.value?.view ?: next.view
            return ManifestPublishResult(inForce.number, inForce.digest, decision)
        }
    }

    private fun digest(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
}
